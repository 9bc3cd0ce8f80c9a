#ifndef dandelionstand_load_LoadOptions_h
#define dandelionstand_load_LoadOptions_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/load/LoadRun.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! The command-line options of a load run, before they are checked.
struct LoadOptions
{
  std::string user_ = "zafukreis";
  std::string mix_;              //!< In the format of ApplyWeights; empty keeps the user's mix.
  std::string rates_ = "100:10"; //!< In the format of ParseRates.
  std::vector<std::string> entryPoints_;
  std::vector<std::string> directTargets_;
  std::vector<std::string> runCounters_;
  std::uint64_t maxCalls_ = 1'000'000;
  std::uint64_t downloadBytes_ = 0; //!< 0 keeps the length of the user's mix.
  std::uint64_t seed_ = 1;
  std::uint32_t repeatPercent_ = 0;
  std::size_t connections_ = 64;
  std::uint64_t timeoutMs_ = 30'000;
};

//! Converts options to settings and adds a finding for every invalid option.
LoadSettings ParseLoadOptions(const LoadOptions& aOptions, common::Findings& aFindings);

//! Parses rate steps in calls per second and seconds, such as "100:10,200:10"; std::nullopt for any
//! other text.
std::optional<std::vector<RateStep>> ParseRates(const std::string& aText);

} // namespace dandelionstand::load

#endif // dandelionstand_load_LoadOptions_h
