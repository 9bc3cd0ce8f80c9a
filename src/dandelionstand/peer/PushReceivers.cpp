#include "dandelionstand/peer/PushReceivers.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <iterator>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRegionBackupReaders = 3;
constexpr std::size_t kDomainBackupReaders = 2;
//! Between the takeover times of consecutive backup readers.
constexpr common::Duration kTakeoverStep = 300ms;
constexpr common::Duration kDomainTakeoverDelay = 600ms;

//! Members of a failure domain in tree order: the origin is the root if it belongs to the domain,
//! the others follow in rank order.
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

Members PushReceivers(const Members& aMembers,
                      const Member& aSelf,
                      const common::InstanceId& aOrigin,
                      const SpreadingSettings& aSettings)
{
  Members receivers;
  if (aOrigin == aSelf.instance_) {
    for (const common::FailureDomain& domain : DomainsOf(aMembers)) {
      Members relays = RankedInDomain(aMembers, domain);
      if (domain == aSelf.failureDomain_ || relays.front().region_ != aSelf.region_) {
        continue;
      }
      relays.resize(std::min(relays.size(), aSettings.relaysPerDomain_));
      receivers.insert(receivers.end(), relays.begin(), relays.end());
    }
  }
  const Members order = TreeOrder(aMembers, aSelf.failureDomain_, aOrigin);
  const std::size_t index = IndexOf(order, aSelf.instance_);
  if (index < order.size()) {
    const Members children = TreeChildren(order, index, aSettings.fanOut_);
    receivers.insert(receivers.end(), children.begin(), children.end());
  }
  return receivers;
}

bool TakeoverDelay(const Members& aMembers,
                   const Member& aSelf,
                   const SpreadingSettings& aSettings,
                   common::Duration& aDelay)
{
  const std::size_t regionRank = IndexOf(RankedInRegion(aMembers, aSelf.region_), aSelf.instance_);
  if (regionRank < kRegionBackupReaders) {
    aDelay = aSettings.readerTimeout_ + regionRank * kTakeoverStep;
    return true;
  }
  const std::size_t domainRank =
    IndexOf(RankedInDomain(aMembers, aSelf.failureDomain_), aSelf.instance_);
  aDelay = aSettings.readerTimeout_ + kDomainTakeoverDelay + domainRank * kTakeoverStep;
  return domainRank < kDomainBackupReaders;
}

} // namespace dandelionstand::peer
