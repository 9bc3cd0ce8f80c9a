#ifndef dandelionstand_load_ExperimentConfig_h
#define dandelionstand_load_ExperimentConfig_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/load/Mix.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Parameters of a generated configuration.
struct ExperimentConfig
{
  std::vector<std::string> services_;
  std::uint32_t routesPerService_ = 2; //!< At least 2: one for reads and one for keyed orders.
  std::uint64_t revision_ = 0; //!< Selects the route whose timeout differs from its default.
};

//! Generates the resources of the configuration, all with version 0. For each service, GET requests
//! below "/<service>" are idempotent lookups and POST requests below it are keyed orders.
config::ConfigState MakeConfig(const ExperimentConfig& aConfig);

//! Call classes that distribute calls evenly over the services; aOrderPercent of the calls are
//! keyed orders.
std::vector<CallClass> MakeCallClasses(const std::vector<std::string>& aServices,
                                       std::uint32_t aOrderPercent);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ExperimentConfig_h
