#ifndef dandelionstand_quota_VoterRegistry_h
#define dandelionstand_quota_VoterRegistry_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Member.h"
#include "dandelionstand/quota/Voters.h"

#include <map>

namespace dandelionstand::quota {

//! Decides which members vote on the leases of grantors.
//!
//! A member that does not respond may be on the other side of a partition of the network. It is
//! counted for as long as a grantor there may go on without the store. One that has announced its
//! own stop is not counted.
class VoterRegistry
{
public:
  //! aUnmetCount: instances that are known from their join records only.
  Voters Update(const peer::Members& aMembers, std::size_t aUnmetCount, common::TimePoint aNow);

private:
  std::map<common::InstanceId, common::TimePoint> unresponsiveSince_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_VoterRegistry_h
