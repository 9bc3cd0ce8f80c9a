#include "dandelionstand/caller/EndpointPicker.h"

#include <algorithm>
#include <iterator>

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

constexpr double kBytesInKilobyte = 1024;
//! Weight of the newest answer in the usual size of a route's answers.
constexpr double kSizeWeight = 0.1;
//! Time of an endpoint of which nothing is known, as a part of the least that is known.
constexpr double kUnknownTime = 0.5;
//! A target that is full takes half as long again: some slow down, and work may have to wait.
constexpr double kLoadWeight = 0.5;
//! Endpoints whose cost is within this factor of the least one's count as alike.
constexpr double kAlike = 1.1;

common::Duration Scale(common::Duration aDuration, double aFactor)
{
  return common::Duration(
    static_cast<common::Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

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
                                             const config::RouteName& aRoute,
                                             common::TimePoint aNow)
{
  const std::vector<const Entry*> candidates = Candidates(aTried, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<const Entry*> free;
  std::copy_if(candidates.begin(),
               candidates.end(),
               std::back_inserter(free),
               [&](const Entry* aEntry) { return Load(*aEntry, aNow) < settings_.spillAt_; });
  const std::vector<const Entry*> best =
    free.empty() ? Nearest(candidates) : Cheapest(free, aRoute, aNow);
  return BestOfTwo(best, aNow)->endpoint_;
}

bool EndpointPicker::HasOther(const std::vector<common::InstanceId>& aTried) const
{
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
    return !Contains(aTried, aEntry.first);
  });
}

common::Duration EndpointPicker::LeastTime(const std::vector<common::InstanceId>& aTried,
                                           const config::RouteName& aRoute,
                                           common::TimePoint aNow) const
{
  common::Duration least = common::Duration::max();
  for (const auto& [instance, entry] : entries_) {
    if (!Contains(aTried, instance)) {
      least = std::min(least, entry.times_.TimeOf(aRoute, aNow).value_or(common::Duration(0)));
    }
  }
  return least;
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

void EndpointPicker::AnswerSize(const config::RouteName& aRoute, std::uint64_t aBytes)
{
  const double kilobytes = static_cast<double>(aBytes) / kBytesInKilobyte;
  const auto [entry, isNew] = answerKilobytes_.try_emplace(aRoute, kilobytes);
  if (!isNew) {
    entry->second += kSizeWeight * (kilobytes - entry->second);
  }
}

void EndpointPicker::Reported(const common::InstanceId& aInstance,
                              const config::RouteName& aRoute,
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
  if (aLoad.workTime_.count() > 0) {
    entry.times_.NoteTime(aRoute, aLoad.workTime_, aNow);
  }
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
      entry.times_.NoteOutcome(false, aNow);
      entry.failures_ = 0;
      entry.ejections_ = 0;
      entry.lastHeard_ = aNow;
      return;
    case AttemptResult::kRefused:
      entry.failures_ = 0;
      entry.lastHeard_ = aNow;
      return;
    case AttemptResult::kErrored:
    case AttemptResult::kShed:
      entry.times_.NoteOutcome(true, aNow);
      entry.failures_ = 0;
      entry.lastHeard_ = aNow;
      return;
    case AttemptResult::kDropped:
      return;
    case AttemptResult::kFailed:
      entry.times_.NoteOutcome(true, aNow);
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

std::vector<const EndpointPicker::Entry*> EndpointPicker::Nearest(
  const std::vector<const Entry*>& aEntries) const
{
  std::vector<const Entry*> nearest;
  int nearestTier = kTierCount;
  for (const Entry* entry : aEntries) {
    const int tier = TierOf(entry->endpoint_);
    if (tier < nearestTier) {
      nearest.clear();
      nearestTier = tier;
    }
    if (tier == nearestTier) {
      nearest.push_back(entry);
    }
  }
  return nearest;
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

common::Duration EndpointPicker::DistanceOf(const Entry& aEntry,
                                            const config::RouteName& aRoute) const
{
  const int tier = TierOf(aEntry.endpoint_);
  if (tier == kOwnDomain) {
    return {};
  }
  const auto size = answerKilobytes_.find(aRoute);
  const Distances& distances = settings_.distances_;
  const double kilobytes =
    distances.overheadKilobytes_ + (size == answerKilobytes_.end() ? 0.0 : size->second);
  const bool isNear = tier == kOwnRegion;
  return (isNear ? distances.domainTrip_ : distances.regionTrip_) +
         Scale(isNear ? distances.domainKilobyte_ : distances.regionKilobyte_, kilobytes);
}

common::Duration EndpointPicker::CostOf(const Entry& aEntry,
                                        const config::RouteName& aRoute,
                                        common::Duration aLeastTime,
                                        common::TimePoint aNow) const
{
  // An unknown endpoint is assumed to be fast, but only until one request is on its way there.
  const common::Duration assumed = Scale(aLeastTime, kUnknownTime + aEntry.outstanding_);
  const common::Duration time = aEntry.times_.TimeOf(aRoute, aNow).value_or(assumed);
  const double load = Load(aEntry, aNow);
  return Scale(time, 1.0 + kLoadWeight * load * load) + DistanceOf(aEntry, aRoute) +
         Scale(settings_.failureTime_, aEntry.times_.FailureShare(aNow));
}

std::vector<const EndpointPicker::Entry*> EndpointPicker::Cheapest(
  const std::vector<const Entry*>& aEntries,
  const config::RouteName& aRoute,
  common::TimePoint aNow) const
{
  std::optional<common::Duration> leastTime;
  for (const Entry* entry : aEntries) {
    const auto time = entry->times_.TimeOf(aRoute, aNow);
    if (time && (!leastTime || *time < *leastTime)) {
      leastTime = time;
    }
  }
  std::vector<common::Duration> costs;
  costs.reserve(aEntries.size());
  for (const Entry* entry : aEntries) {
    costs.push_back(CostOf(*entry, aRoute, leastTime.value_or(common::Duration(0)), aNow));
  }
  const common::Duration least = *std::min_element(costs.begin(), costs.end());
  std::vector<const Entry*> cheapest;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    if (costs[i] <= Scale(least, kAlike)) {
      cheapest.push_back(aEntries[i]);
    }
  }
  return Nearest(cheapest);
}

double EndpointPicker::Ramp(const Entry& aEntry, common::TimePoint aNow) const
{
  const common::Duration age = aNow - aEntry.since_;
  if (age >= settings_.slowStartPeriod_) {
    return 1.0;
  }
  const double share =
    static_cast<double>(age.count()) / static_cast<double>(settings_.slowStartPeriod_.count());
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
