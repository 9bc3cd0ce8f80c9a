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
  //! Daemons and the log are reached through the fault proxy.
  bool isProxied_ = true;
  //! Start a target beside each daemon whose instance has a service.
  bool hasTargets_ = true;
  std::size_t seedsPerDomain_ = 2;
  std::vector<std::string> logArguments_;    //!< More arguments of standin-log.
  std::vector<std::string> targetArguments_; //!< More arguments of each standin-target.
  //! Changes the settings of a daemon before they are written.
  std::function<void(const InstanceOptions&, nlohmann::json&)> adjustSettings_;
};

//! Regions r1.., domains r1a, r1b.., instances r1a-0..; services are given out in turn within each
//! failure domain. No services stand for instances without targets.
std::vector<RegionOptions> MakeRegions(std::size_t aRegions,
                                       std::size_t aDomainsPerRegion,
                                       std::size_t aInstancesPerDomain,
                                       const std::vector<std::string>& aServices);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FleetOptions_h
