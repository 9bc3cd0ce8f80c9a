#include "dandelionstand/caller/EndpointPicker.h"

#include <algorithm>
#include <array>

namespace dandelionstand::caller {

namespace {

enum Tier
{
  kOwnDomain,
  kOwnRegion,
  kOtherRegions,
  kTierCount,
};

constexpr std::uint32_t kPercent = 100;
constexpr double kFirstRamp = 0.1;
constexpr std::uint32_t kMostDoublings = 5;

bool Contains(const std::vector<common::InstanceId>& aInstances, const common::InstanceId& aWanted)
{
  return std::find(aInstances.begin(), aInstances.end(), aWanted) != aInstances.end();
}

} // namespace

EndpointPicker::EndpointPicker(PickerSettings aSettings, std::uint64_t aSeed)
  : settings_(std::move(aSettings))
  , random_(aSeed)
{
}

void EndpointPicker::SetEndpoints(const std::vector<Endpoint>& aEndpoints, common::TimePoint aNow)
{
  EntryMap next;
  for (const Endpoint& endpoint : aEndpoints) {
    const auto known = entries_.find(endpoint.instance_);
    const bool isSame =
      known != entries_.end() && known->second.endpoint_.incarnation_ == endpoint.incarnation_;
    Entry entry;
    if (isSame) {
      entry = known->second;
    } else {
      entry.since_ = aNow;
    }
    entry.endpoint_ = endpoint;
    next.emplace(endpoint.instance_, std::move(entry));
  }
  entries_ = std::move(next);
}

std::optional<Endpoint> EndpointPicker::Pick(const std::vector<common::InstanceId>& aTried,
                                             common::TimePoint aNow)
{
  std::array<std::vector<const Entry*>, kTierCount> tiers;
  for (const Entry* entry : Candidates(aTried, aNow)) {
    tiers.at(TierOf(entry->endpoint_)).push_back(entry);
  }
  const Entry* fallback = nullptr;
  for (const auto& tier : tiers) {
    if (tier.empty()) {
      continue;
    }
    const Entry* best = BestOfTwo(tier, aNow);
    if (Load(*best, aNow) < settings_.spillAt_) {
      return best->endpoint_;
    }
    // When every tier is saturated, the nearest one queues.
    fallback = fallback == nullptr ? best : fallback;
  }
  if (fallback == nullptr) {
    return std::nullopt;
  }
  return fallback->endpoint_;
}

bool EndpointPicker::HasOther(const std::vector<common::InstanceId>& aTried) const
{
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
    return !Contains(aTried, aEntry.first);
  });
}

void EndpointPicker::Started(const common::InstanceId& aInstance, common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.outstanding_ == 0) {
    entry.lastHeard_ = aNow;
  }
  ++entry.outstanding_;
}

void EndpointPicker::Progressed(const common::InstanceId& aInstance, common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found != entries_.end()) {
    found->second.lastHeard_ = aNow;
  }
}

void EndpointPicker::Reported(const common::InstanceId& aInstance,
                              ReportedLoad aLoad,
                              common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.load_ = aLoad;
  entry.loadAt_ = aNow;
  entry.outstandingAtReport_ = entry.outstanding_;
}

void EndpointPicker::Ended(const common::InstanceId& aInstance,
                           AttemptResult aResult,
                           common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.outstanding_ -= entry.outstanding_ > 0 ? 1 : 0;
  switch (aResult) {
    case AttemptResult::kAnswered:
      entry.failures_ = 0;
      entry.ejections_ = 0;
      entry.lastHeard_ = aNow;
      return;
    case AttemptResult::kRefused:
      entry.failures_ = 0;
      entry.lastHeard_ = aNow;
      return;
    case AttemptResult::kDropped:
      return;
    case AttemptResult::kFailed:
      ++entry.failures_;
      if (entry.failures_ >= settings_.ejectAfterFailures_ && MayEject(aNow)) {
        Eject(entry, aNow);
      }
      return;
  }
}

std::size_t EndpointPicker::Ejected(common::TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      return aEntry.second.ejectedUntil_ > aNow;
    }));
}

double EndpointPicker::LoadOf(const common::InstanceId& aInstance, common::TimePoint aNow) const
{
  const auto found = entries_.find(aInstance);
  return found == entries_.end() ? 0.0 : Load(found->second, aNow);
}

int EndpointPicker::TierOf(const Endpoint& aEndpoint) const
{
  if (aEndpoint.failureDomain_ == settings_.failureDomain_) {
    return kOwnDomain;
  }
  return aEndpoint.region_ == settings_.region_ ? kOwnRegion : kOtherRegions;
}

double EndpointPicker::Load(const Entry& aEntry, common::TimePoint aNow) const
{
  const std::uint32_t slots = aEntry.load_.slots_ > 0 ? aEntry.load_.slots_ : settings_.slots_;
  std::uint32_t work = aEntry.outstanding_;
  if (aEntry.load_.slots_ > 0 && aNow - aEntry.loadAt_ < settings_.loadFresh_) {
    // The report holds our own work of that moment; the rest is other daemons' work.
    const std::uint32_t reported = aEntry.load_.running_ + aEntry.load_.queued_;
    const std::uint32_t own = std::min(reported, aEntry.outstandingAtReport_);
    work += reported - own;
  }
  return static_cast<double>(work) / (std::max(1U, slots) * Ramp(aEntry, aNow));
}

double EndpointPicker::Ramp(const Entry& aEntry, common::TimePoint aNow) const
{
  const common::Duration age = aNow - aEntry.since_;
  if (age >= settings_.slowStart_) {
    return 1.0;
  }
  const double share =
    static_cast<double>(age.count()) / static_cast<double>(settings_.slowStart_.count());
  return std::max(kFirstRamp, share);
}

bool EndpointPicker::IsStalled(const Entry& aEntry, common::TimePoint aNow) const
{
  return aEntry.outstanding_ > 0 && aNow - aEntry.lastHeard_ >= settings_.stallAfter_;
}

bool EndpointPicker::IsLeftOut(const Entry& aEntry, common::TimePoint aNow) const
{
  return aEntry.ejectedUntil_ > aNow || IsStalled(aEntry, aNow);
}

bool EndpointPicker::MayEject(common::TimePoint aNow) const
{
  return (Ejected(aNow) + 1) * kPercent <= entries_.size() * settings_.ejectAtMostPercent_;
}

void EndpointPicker::Eject(Entry& aEntry, common::TimePoint aNow)
{
  const auto doublings = std::min(aEntry.ejections_, kMostDoublings);
  const common::Duration time = settings_.ejectFor_ * (1U << doublings);
  aEntry.ejectedUntil_ = aNow + std::min(time, settings_.ejectForAtMost_);
  aEntry.since_ = aEntry.ejectedUntil_;
  aEntry.failures_ = 0;
  ++aEntry.ejections_;
}

const EndpointPicker::Entry* EndpointPicker::BestOfTwo(const std::vector<const Entry*>& aEntries,
                                                       common::TimePoint aNow)
{
  if (aEntries.size() == 1) {
    return aEntries.front();
  }
  std::uniform_int_distribution<std::size_t> first(0, aEntries.size() - 1);
  std::uniform_int_distribution<std::size_t> other(0, aEntries.size() - 2);
  const std::size_t one = first(random_);
  const std::size_t draw = other(random_);
  const std::size_t two = draw >= one ? draw + 1 : draw;
  return Load(*aEntries[two], aNow) < Load(*aEntries[one], aNow) ? aEntries[two] : aEntries[one];
}

std::vector<const EndpointPicker::Entry*> EndpointPicker::Candidates(
  const std::vector<common::InstanceId>& aTried,
  common::TimePoint aNow) const
{
  std::vector<const Entry*> usable;
  std::vector<const Entry*> leftOut;
  for (const auto& [instance, entry] : entries_) {
    if (!Contains(aTried, instance)) {
      (IsLeftOut(entry, aNow) ? leftOut : usable).push_back(&entry);
    }
  }
  // Above the ceiling the stalled ones are used again, those not ejected first.
  const std::size_t mostLeftOut = entries_.size() * settings_.ejectAtMostPercent_ / kPercent;
  std::stable_sort(leftOut.begin(), leftOut.end(), [](const Entry* aLeft, const Entry* aRight) {
    return aLeft->ejectedUntil_ < aRight->ejectedUntil_;
  });
  while (leftOut.size() > mostLeftOut || (usable.empty() && !leftOut.empty())) {
    usable.push_back(leftOut.front());
    leftOut.erase(leftOut.begin());
  }
  return usable;
}

} // namespace dandelionstand::caller
