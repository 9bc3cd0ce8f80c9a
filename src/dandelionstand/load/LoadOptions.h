#ifndef dandelionstand_load_LoadOptions_h
#define dandelionstand_load_LoadOptions_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/load/LoadRun.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! The settings of a run as they stand on the command line.
struct LoadOptions
{
  std::string user_ = "zafukreis";
  std::string mix_; //!< Weights as ApplyWeights takes them; empty keeps the user's mix.
  std::string rates_ = "100:10"; //!< Calls a second and seconds: "100:10,200:10".
  std::vector<std::string> entryPoints_;
  std::vector<std::string> directTargets_;
  std::vector<std::string> runCounters_;
  std::uint64_t maxCalls_ = 1'000'000;
  std::uint64_t downloadBytes_ = 0; //!< 0 keeps the user's mix.
  std::uint64_t seed_ = 1;
  std::uint32_t repeatPercent_ = 0;
  std::size_t connections_ = 64;
  std::uint64_t timeoutMs_ = 30'000;
};

//! Turns options into settings; everything that is wrong becomes a finding.
LoadSettings ParseLoadOptions(const LoadOptions& aOptions, common::Findings& aFindings);

//! Parses "rate:seconds,rate:seconds"; none on any other text.
std::optional<std::vector<RateStep>> ParseRates(const std::string& aText);

} // namespace dandelionstand::load

#endif // dandelionstand_load_LoadOptions_h
