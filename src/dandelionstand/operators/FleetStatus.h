#ifndef dandelionstand_operators_FleetStatus_h
#define dandelionstand_operators_FleetStatus_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::operators {

//! Status of a failure domain as reported by one daemon.
struct DomainStatus
{
  common::FailureDomain name_;
  std::uint64_t members_ = 0;
  std::map<common::Version, std::uint64_t> membersByVersion_; //!< Keyed by active version.
  std::vector<common::InstanceId> lagging_;
};

//! Active versions of all members as reported by one daemon.
struct FleetStatus
{
  common::Version version_; //!< Active on the reporting daemon.
  std::vector<DomainStatus> domains_;

  std::uint64_t CountMembersAtOrAbove(common::Version aVersion) const;
  std::uint64_t CountMembers() const;
  //! Whether aVersion or a later one is active on the reporting daemon and on every member that it
  //! knows.
  bool IsActiveEverywhere(common::Version aVersion) const;
};

//! Parses a daemon's response to GET /status.
FleetStatus ParseFleetStatus(const std::string& aText, common::Findings& aFindings);

//! Formats a line for each failure domain and for each lagging instance.
std::string ToText(const FleetStatus& aStatus);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_FleetStatus_h
