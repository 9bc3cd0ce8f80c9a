#include "dandelionstand/peer/Rank.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace dandelionstand::peer {

namespace {

template<typename Predicate>
Members RankedWhere(const Members& aMembers, Predicate aPredicate)
{
  std::vector<std::pair<std::uint64_t, const Member*>> ranked;
  for (const Member& member : aMembers) {
    if (member.IsLive() && aPredicate(member)) {
      ranked.emplace_back(RankHash(member.instance_), &member);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLhs, const auto& aRhs) {
    return std::tie(aLhs.first, aLhs.second->instance_) <
           std::tie(aRhs.first, aRhs.second->instance_);
  });
  Members result;
  for (const auto& [hash, member] : ranked) {
    result.push_back(*member);
  }
  return result;
}

} // namespace

std::uint64_t RankHash(const common::InstanceId& aInstance)
{
  return XXH3_64bits(aInstance.Get().data(), aInstance.Get().size());
}

Members RankedInDomain(const Members& aMembers, const common::FailureDomain& aDomain)
{
  return RankedWhere(aMembers,
                     [&](const Member& aMember) { return aMember.failureDomain_ == aDomain; });
}

Members RankedInRegion(const Members& aMembers, const common::Region& aRegion)
{
  return RankedWhere(aMembers, [&](const Member& aMember) { return aMember.region_ == aRegion; });
}

Members HeadAndStandby(const Members& aMembers, const common::Region& aRegion)
{
  const Members ranked = RankedInRegion(aMembers, aRegion);
  if (ranked.size() < 2) {
    return ranked;
  }
  const auto standby = std::find_if(ranked.begin(), ranked.end(), [&](const Member& aMember) {
    return aMember.failureDomain_ != ranked.front().failureDomain_;
  });
  return { ranked.front(), standby == ranked.end() ? ranked[1] : *standby };
}

Members TreeChildren(const Members& aRanked, std::size_t aIndex, std::size_t aFanOut)
{
  Members children;
  for (std::size_t i = aIndex * aFanOut + 1; i <= aIndex * aFanOut + aFanOut; ++i) {
    if (i < aRanked.size()) {
      children.push_back(aRanked[i]);
    }
  }
  return children;
}

std::vector<common::FailureDomain> DomainsOf(const Members& aMembers)
{
  std::set<common::FailureDomain> domains;
  for (const Member& member : aMembers) {
    if (member.IsLive()) {
      domains.insert(member.failureDomain_);
    }
  }
  return { domains.begin(), domains.end() };
}

std::size_t IndexOf(const Members& aMembers, const common::InstanceId& aInstance)
{
  const auto found = std::find_if(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
    return aMember.instance_ == aInstance;
  });
  return static_cast<std::size_t>(found - aMembers.begin());
}

} // namespace dandelionstand::peer
