//! Any text is read as a document or has findings; a document without any reads back the same.

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
  if (findings.IsEmpty()) {
    const config::ConfigState again =
      config::ParseDocument(config::WriteDocument(state), "again", findings);
    if (!findings.IsEmpty() || again != state) {
      std::abort();
    }
  }
  return 0;
}
