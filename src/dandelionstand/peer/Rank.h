#ifndef dandelionstand_peer_Rank_h
#define dandelionstand_peer_Rank_h

#include "dandelionstand/peer/Member.h"

#include <cstddef>
#include <cstdint>

namespace dandelionstand::peer {

//! Sort key of an instance in every rank order; the same at all daemons.
std::uint64_t RankHash(const common::InstanceId& aInstance);

//! Live members of a failure domain in rank order. Suspects are included, so a suspicion alone does
//! not move a role to another member.
Members RankedInDomain(const Members& aMembers, const common::FailureDomain& aDomain);

//! Live members of a region in rank order.
Members RankedInRegion(const Members& aMembers, const common::Region& aRegion);

//! The region head, which is the best-ranked live member of the region, followed by its standby,
//! the best-ranked one of another failure domain (or of the same one if there is no other).
Members HeadAndStandby(const Members& aMembers, const common::Region& aRegion);

//! Children of the member at aIndex when aRanked is laid out as a tree in breadth-first order.
Members TreeChildren(const Members& aRanked, std::size_t aIndex, std::size_t aFanOut);

//! Failure domains that have a live member, sorted by name.
std::vector<common::FailureDomain> DomainsOf(const Members& aMembers);

//! Index of the instance, or aMembers.size() if it is absent.
std::size_t IndexOf(const Members& aMembers, const common::InstanceId& aInstance);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Rank_h
