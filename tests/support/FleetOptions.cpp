#include "tests/support/FleetOptions.h"

namespace dandelionstand::tests {

namespace {

DomainOptions MakeDomain(const std::string& aName,
                         std::size_t aInstances,
                         const std::vector<std::string>& aServices)
{
  DomainOptions domain{ aName, {} };
  for (std::size_t index = 0; index < aInstances; ++index) {
    const std::string service = aServices.empty() ? "" : aServices[index % aServices.size()];
    domain.instances_.push_back({ aName + "-" + std::to_string(index), service });
  }
  return domain;
}

} // namespace

std::vector<RegionOptions> MakeRegions(std::size_t aRegions,
                                       std::size_t aDomainsPerRegion,
                                       std::size_t aInstancesPerDomain,
                                       const std::vector<std::string>& aServices)
{
  std::vector<RegionOptions> regions;
  for (std::size_t number = 1; number <= aRegions; ++number) {
    RegionOptions region{ "r" + std::to_string(number), {} };
    for (std::size_t index = 0; index < aDomainsPerRegion; ++index) {
      const std::string name = region.name_ + static_cast<char>('a' + index);
      region.domains_.push_back(MakeDomain(name, aInstancesPerDomain, aServices));
    }
    regions.push_back(region);
  }
  return regions;
}

} // namespace dandelionstand::tests
