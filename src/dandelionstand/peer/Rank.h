#ifndef dandelionstand_peer_Rank_h
#define dandelionstand_peer_Rank_h

#include "dandelionstand/peer/Member.h"

#include <cstddef>
#include <cstdint>

namespace dandelionstand::peer {

//! Position of an instance in every rank order; equal at all daemons.
std::uint64_t RankHash(const common::InstanceId& aInstance);

//! Live members of a failure domain in rank order. Suspects are included: roles do not move on
//! doubt.
Members RankedInDomain(const Members& aMembers, const common::FailureDomain& aDomain);

//! Live members of a region in rank order.
Members RankedInRegion(const Members& aMembers, const common::Region& aRegion);

//! The best-ranked live member of a region, then the best-ranked one of another failure domain
//! (or of the same one if there is no other).
Members HeadAndStandby(const Members& aMembers, const common::Region& aRegion);

//! Children of the member at aIndex in a tree of that fan-out over a ranked list.
Members TreeChildren(const Members& aRanked, std::size_t aIndex, std::size_t aFanOut);

//! Failure domains with a live member, in order of their names.
std::vector<common::FailureDomain> DomainsOf(const Members& aMembers);

//! Index of the instance; the size of the list if it is absent.
std::size_t IndexOf(const Members& aMembers, const common::InstanceId& aInstance);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Rank_h
