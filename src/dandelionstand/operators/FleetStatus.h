#ifndef dandelionstand_operators_FleetStatus_h
#define dandelionstand_operators_FleetStatus_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::operators {

//! What one daemon knows about a failure domain.
struct DomainStatus
{
  common::FailureDomain name_;
  std::uint64_t members_ = 0;
  std::map<common::Version, std::uint64_t> membersByVersion_; //!< CountMembers by their version.
  std::vector<common::InstanceId> lagging_;
};

//! The versions in force as one daemon knows them.
struct FleetStatus
{
  common::Version version_; //!< In force on the daemon that was asked.
  std::vector<DomainStatus> domains_;

  std::uint64_t CountMembersAtOrAbove(common::Version aVersion) const;
  std::uint64_t CountMembers() const;
  //! Whether each member that the daemon knows has the version, or a later one, in force.
  bool IsActiveEverywhere(common::Version aVersion) const;
};

//! Parses a daemon's answer to GET /status.
FleetStatus ParseFleetStatus(const std::string& aText, common::Findings& aFindings);

//! A table with a line for each failure domain.
std::string ToText(const FleetStatus& aStatus);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_FleetStatus_h
