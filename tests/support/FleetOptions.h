#ifndef dandelionstand_tests_support_FleetOptions_h
#define dandelionstand_tests_support_FleetOptions_h

#include "dandelionstand/common/Ids.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::tests {

struct InstanceOptions
{
  std::string name_;
  std::string service_; //!< Empty for an instance without a target.
};

struct DomainOptions
{
  std::string name_;
  std::vector<InstanceOptions> instances_;
};

struct RegionOptions
{
  std::string name_;
  std::vector<DomainOptions> domains_;
};

struct FleetOptions
{
  std::vector<RegionOptions> regions_;
  //! Traffic between daemons and to the log passes through the fault proxy.
  bool isProxied_ = true;
  //! Starts a target beside each daemon whose instance has a service.
  bool hasTargets_ = true;
  std::size_t seedsPerDomain_ = 2;
  std::vector<std::string> logArguments_;    //!< Extra arguments for standin-log.
  std::vector<std::string> targetArguments_; //!< Extra arguments for each standin-target.
  //! Called with a daemon's settings before they are written.
  std::function<void(const InstanceOptions&, nlohmann::json&)> adjustSettings_;
};

//! Builds regions r1.., failure domains r1a, r1b.. and instances r1a-0... Services are assigned
//! round robin within each failure domain. An empty aServices gives instances without targets.
std::vector<RegionOptions> MakeRegions(std::size_t aRegions,
                                       std::size_t aDomainsPerRegion,
                                       std::size_t aInstancesPerDomain,
                                       const std::vector<std::string>& aServices);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FleetOptions_h
