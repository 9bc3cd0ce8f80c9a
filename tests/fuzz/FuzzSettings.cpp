//! Any text is read as settings or has findings.

#include "dandelionstand/daemon/Settings.h"

#include <cstdint>
#include <string>

using namespace dandelionstand;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  common::Findings findings;
  daemon::ParseSettings(std::string(reinterpret_cast<const char*>(aData), aSize), "fuzz", findings);
  return 0;
}
