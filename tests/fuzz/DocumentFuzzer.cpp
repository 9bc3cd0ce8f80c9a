//! Parses configuration documents. A document without findings must round-trip through
//! WriteDocument().

#include "dandelionstand/config/Document.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  common::Findings findings;
  const config::ConfigState state = config::ParseDocument(text, "fuzz", findings);
  if (!findings.IsEmpty()) {
    return 0;
  }
  const std::string written = config::WriteDocument(state);
  const config::ConfigState reparsed = config::ParseDocument(written, "written", findings);
  if (!findings.IsEmpty() || config::WriteDocument(reparsed) != written) {
    std::abort();
  }
  return 0;
}
