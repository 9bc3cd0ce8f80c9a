#ifndef dandelionstand_load_ExperimentConfig_h
#define dandelionstand_load_ExperimentConfig_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/load/Mix.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Size and revision of a generated configuration.
struct ExperimentConfig
{
  std::vector<std::string> services_;
  std::uint32_t routesPerService_ = 2; //!< At least 2: one for reads and one for keyed orders.
  std::uint64_t revision_ = 0;         //!< Each revision changes one route.
};

//! The resources of the configuration, with versions 0. Reads of a service are routed below
//! "/<service>", keyed orders are POST requests to the same prefix.
config::ConfigState MakeConfig(const ExperimentConfig& aConfig);

//! Calls that reach every service alike; aOrderPercent of them are keyed orders.
std::vector<CallClass> MakeCallClasses(const std::vector<std::string>& aServices,
                                       std::uint32_t aOrderPercent);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ExperimentConfig_h
