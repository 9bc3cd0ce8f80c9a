#include "dandelionstand/quota/GrantorLease.h"

#include "dandelionstand/quota/LeaseVoter.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::quota {

void GrantorLease::OnJoined(std::uint64_t aGeneration,
                            const std::vector<std::uint32_t>& aPartitions,
                            common::TimePoint aSentAt,
                            common::TimePoint aNow)
{
  if (aGeneration < generation_) {
    return; // The reply to an earlier join came late.
  }
  Tick(aNow);
  std::map<std::uint32_t, Holding> holdings;
  for (const std::uint32_t partition : aPartitions) {
    const auto found = holdings_.find(partition);
    holdings[partition] = found == holdings_.end() ? Holding{ .assignedAt_ = aNow } : found->second;
  }
  holdings_ = std::move(holdings);
  generation_ = aGeneration;
  validUntil_ = std::max(validUntil_, aSentAt + kTimeToLive);
  extendableUntil_ = std::max(extendableUntil_, aSentAt + kMaxExtension);
  isFailing_ = false;
}

void GrantorLease::Extend(common::TimePoint aAskedAt, bool aIsUnanimous, common::TimePoint aNow)
{
  if (!IsValid(aNow)) {
    return; // What has ended does not revive without a join.
  }
  if (aIsUnanimous) {
    extendableUntil_ = std::max(extendableUntil_, aAskedAt + kMaxExtension);
  }
  const common::TimePoint until =
    std::min(aAskedAt + LeaseVoter::kPromiseLifetime, extendableUntil_);
  validUntil_ = std::max(validUntil_, until);
}

bool GrantorLease::Yield(std::uint64_t aGeneration, const std::vector<std::uint32_t>& aPartitions)
{
  const bool hasOne = std::ranges::any_of(
    aPartitions, [this](std::uint32_t aPartition) { return holdings_.contains(aPartition); });
  if (hasOne && aGeneration <= generation_) {
    return false;
  }
  for (const std::uint32_t partition : aPartitions) {
    holdings_.erase(partition);
  }
  return true;
}

void GrantorLease::Confirm(std::uint32_t aPartition,
                           common::Duration aQuietFor,
                           common::TimePoint aNow)
{
  const auto found = holdings_.find(aPartition);
  if (found != holdings_.end() && !found->second.heldSince_) {
    found->second.heldSince_ = aNow;
    found->second.quietBefore_ = aQuietFor;
  }
}

common::Duration GrantorLease::QuietBefore(std::uint32_t aPartition) const
{
  return holdings_.at(aPartition).quietBefore_;
}

std::size_t GrantorLease::Tick(common::TimePoint aNow)
{
  return IsValid(aNow) ? 0 : std::exchange(holdings_, {}).size();
}

std::optional<common::TimePoint> GrantorLease::HeldSince(std::uint32_t aPartition,
                                                         common::TimePoint aNow) const
{
  const auto found = holdings_.find(aPartition);
  return found != holdings_.end() && IsValid(aNow) ? found->second.heldSince_ : std::nullopt;
}

std::map<std::uint32_t, common::TimePoint> GrantorLease::Unconfirmed() const
{
  std::map<std::uint32_t, common::TimePoint> unconfirmed;
  for (const auto& [partition, holding] : holdings_) {
    if (!holding.heldSince_) {
      unconfirmed[partition] = holding.assignedAt_;
    }
  }
  return unconfirmed;
}

std::vector<std::uint32_t> GrantorLease::Held(common::TimePoint aNow) const
{
  std::vector<std::uint32_t> held;
  for (const auto& [partition, holding] : holdings_) {
    if (IsValid(aNow) && holding.heldSince_) {
      held.push_back(partition);
    }
  }
  return held;
}

bool GrantorLease::NeedsVotes(common::TimePoint aNow) const
{
  return isFailing_ && !Held(aNow).empty();
}

} // namespace dandelionstand::quota
