#include "dandelionstand/peer/PushReceivers.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <iterator>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRegionStandIns = 3;
constexpr std::size_t kDomainStandIns = 2;
constexpr common::Duration kStandInStep = 300ms;
constexpr common::Duration kDomainStandInDelay = 600ms;

//! The members of a domain as the tree lays them out: the origin first if it is one of them.
Members TreeOrder(const Members& aMembers,
                  const common::FailureDomain& aDomain,
                  const common::InstanceId& aOrigin)
{
  Members order = RankedInDomain(aMembers, aDomain);
  const auto origin = std::find_if(order.begin(), order.end(), [&](const Member& aMember) {
    return aMember.instance_ == aOrigin;
  });
  if (origin != order.end()) {
    std::rotate(order.begin(), origin, std::next(origin));
  }
  return order;
}

} // namespace

Members PushTargets(const Members& aMembers,
                    const Member& aSelf,
                    const common::InstanceId& aOrigin,
                    const SpreadingSettings& aSettings)
{
  Members targets;
  if (aOrigin == aSelf.instance_) {
    for (const common::FailureDomain& domain : DomainsOf(aMembers)) {
      Members relays = RankedInDomain(aMembers, domain);
      if (domain == aSelf.failureDomain_ || relays.front().region_ != aSelf.region_) {
        continue;
      }
      relays.resize(std::min(relays.size(), aSettings.relayCopies_));
      targets.insert(targets.end(), relays.begin(), relays.end());
    }
  }
  const Members order = TreeOrder(aMembers, aSelf.failureDomain_, aOrigin);
  const std::size_t index = IndexOf(order, aSelf.instance_);
  if (index < order.size()) {
    const Members children = TreeChildren(order, index, aSettings.fanOut_);
    targets.insert(targets.end(), children.begin(), children.end());
  }
  return targets;
}

bool StandInDelay(const Members& aMembers,
                  const Member& aSelf,
                  const SpreadingSettings& aSettings,
                  common::Duration& aDelay)
{
  const std::size_t inRegion = IndexOf(RankedInRegion(aMembers, aSelf.region_), aSelf.instance_);
  if (inRegion < kRegionStandIns) {
    aDelay = aSettings.silence_ + inRegion * kStandInStep;
    return true;
  }
  const std::size_t inDomain =
    IndexOf(RankedInDomain(aMembers, aSelf.failureDomain_), aSelf.instance_);
  aDelay = aSettings.silence_ + kDomainStandInDelay + inDomain * kStandInStep;
  return inDomain < kDomainStandIns;
}

} // namespace dandelionstand::peer
