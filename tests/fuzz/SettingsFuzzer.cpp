//! Parses settings of the daemon.

#include "dandelionstand/daemon/Settings.h"

#include <cstdint>
#include <string>

using namespace dandelionstand;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  common::Findings findings;
  daemon::ParseSettings(text, "fuzz", findings);
  // The findings are what an operator sees.
  findings.ToString();
  return 0;
}
