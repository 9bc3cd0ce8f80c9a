//! Parses daemon settings and formats the findings.

#include "dandelionstand/daemon/Settings.h"

#include <cstdint>
#include <string>

using namespace dandelionstand;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  common::Findings findings;
  daemon::ParseSettings(text, "fuzz", findings);
  // An operator sees the findings, so formatting them must not fail either.
  findings.ToString();
  return 0;
}
