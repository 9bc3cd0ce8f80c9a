#include "dandelionstand/caller/EndpointPicker.h"

#include <algorithm>
#include <iterator>

namespace dandelionstand::caller {

namespace {

enum Tier
{
  kSameDomain,
  kSameRegion,
  kOtherRegions,
  kTierCount,
};

constexpr std::uint32_t kPercent = 100;
constexpr double kMinSlowStartFactor = 0.1;
constexpr std::uint32_t kMaxEjectionDoublings = 5;

constexpr double kBytesPerKilobyte = 1024;
//! Weight of the newest answer in the moving average of a route's answer sizes.
constexpr double kAnswerSizeWeight = 0.1;
//! Assumed work time of an endpoint without a known one, as a factor of the shortest known time.
constexpr double kUnknownTimeFactor = 0.5;
//! A fully loaded target takes 1.5 times as long: some targets slow down, and requests may queue.
constexpr double kLoadWeight = 0.5;
//! Endpoints whose cost is within this factor of the lowest cost count as equally cheap.
constexpr double kSimilarCostFactor = 1.1;

common::Duration Scale(common::Duration aDuration, double aFactor)
{
  return common::Duration(
    static_cast<common::Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

bool Contains(const std::vector<common::InstanceId>& aInstances,
              const common::InstanceId& aSearched)
{
  return std::find(aInstances.begin(), aInstances.end(), aSearched) != aInstances.end();
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
    const auto existing = entries_.find(endpoint.instance_);
    const bool isSameIncarnation = existing != entries_.end() &&
                                   existing->second.endpoint_.incarnation_ == endpoint.incarnation_;
    Entry entry;
    if (isSameIncarnation) {
      entry = existing->second;
    } else {
      entry.slowStartAt_ = aNow;
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
  std::vector<const Entry*> unsaturated;
  std::copy_if(
    candidates.begin(),
    candidates.end(),
    std::back_inserter(unsaturated),
    [&](const Entry* aEntry) { return RelativeLoad(*aEntry, aNow) < settings_.saturationLoad_; });
  const std::vector<const Entry*> best =
    unsaturated.empty() ? Nearest(candidates) : Cheapest(unsaturated, aRoute, aNow);
  return LessLoadedOfTwo(best, aNow)->endpoint_;
}

bool EndpointPicker::HasOtherEndpoint(const std::vector<common::InstanceId>& aTried) const
{
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
    return !Contains(aTried, aEntry.first);
  });
}

common::Duration EndpointPicker::MinWorkTime(const std::vector<common::InstanceId>& aTried,
                                             const config::RouteName& aRoute,
                                             common::TimePoint aNow) const
{
  common::Duration minTime = common::Duration::max();
  for (const auto& [instance, entry] : entries_) {
    if (!Contains(aTried, instance)) {
      minTime =
        std::min(minTime, entry.stats_.WorkTimeOf(aRoute, aNow).value_or(common::Duration(0)));
    }
  }
  return minTime;
}

void EndpointPicker::OnAttemptStarted(const common::InstanceId& aInstance, common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.outstanding_ == 0) {
    entry.lastProgressAt_ = aNow;
  }
  ++entry.outstanding_;
}

void EndpointPicker::OnAttemptProgress(const common::InstanceId& aInstance, common::TimePoint aNow)
{
  const auto found = entries_.find(aInstance);
  if (found != entries_.end()) {
    found->second.lastProgressAt_ = aNow;
  }
}

void EndpointPicker::RecordAnswerSize(const config::RouteName& aRoute, std::uint64_t aBytes)
{
  const double kilobytes = static_cast<double>(aBytes) / kBytesPerKilobyte;
  const auto [entry, isNew] = answerKilobytes_.try_emplace(aRoute, kilobytes);
  if (!isNew) {
    entry->second += kAnswerSizeWeight * (kilobytes - entry->second);
  }
}

void EndpointPicker::OnLoadReport(const common::InstanceId& aInstance,
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
  entry.loadReportedAt_ = aNow;
  entry.outstandingAtReport_ = entry.outstanding_;
  if (aLoad.workTime_.count() > 0) {
    entry.stats_.RecordWorkTime(aRoute, aLoad.workTime_, aNow);
  }
}

void EndpointPicker::OnAttemptEnded(const common::InstanceId& aInstance,
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
      entry.stats_.RecordOutcome(false, aNow);
      entry.consecutiveFailures_ = 0;
      entry.consecutiveEjections_ = 0;
      entry.lastProgressAt_ = aNow;
      return;
    case AttemptResult::kRefused:
      entry.consecutiveFailures_ = 0;
      entry.lastProgressAt_ = aNow;
      return;
    case AttemptResult::kServerError:
    case AttemptResult::kShed:
      entry.stats_.RecordOutcome(true, aNow);
      entry.consecutiveFailures_ = 0;
      entry.lastProgressAt_ = aNow;
      return;
    case AttemptResult::kCancelled:
      return;
    case AttemptResult::kFailed:
      entry.stats_.RecordOutcome(true, aNow);
      ++entry.consecutiveFailures_;
      if (entry.consecutiveFailures_ >= settings_.failuresBeforeEjection_ && CanEject(aNow)) {
        Eject(entry, aNow);
      }
      return;
  }
}

std::size_t EndpointPicker::EjectedCount(common::TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      return aEntry.second.ejectedUntil_ > aNow;
    }));
}

double EndpointPicker::RelativeLoadOf(const common::InstanceId& aInstance,
                                      common::TimePoint aNow) const
{
  const auto found = entries_.find(aInstance);
  return found == entries_.end() ? 0.0 : RelativeLoad(found->second, aNow);
}

int EndpointPicker::TierOf(const Endpoint& aEndpoint) const
{
  if (aEndpoint.failureDomain_ == settings_.failureDomain_) {
    return kSameDomain;
  }
  return aEndpoint.region_ == settings_.region_ ? kSameRegion : kOtherRegions;
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

double EndpointPicker::RelativeLoad(const Entry& aEntry, common::TimePoint aNow) const
{
  const std::uint32_t slots = aEntry.load_.slots_ > 0 ? aEntry.load_.slots_ : settings_.slots_;
  std::uint32_t work = aEntry.outstanding_;
  if (aEntry.load_.slots_ > 0 && aNow - aEntry.loadReportedAt_ < settings_.maxLoadAge_) {
    // The reported load includes this daemon's requests at that time; the rest is of other daemons.
    const std::uint32_t reported = aEntry.load_.running_ + aEntry.load_.queued_;
    const std::uint32_t ownReported = std::min(reported, aEntry.outstandingAtReport_);
    work += reported - ownReported;
  }
  return static_cast<double>(work) / (std::max(1U, slots) * SlowStartFactor(aEntry, aNow));
}

common::Duration EndpointPicker::DistanceCostOf(const Entry& aEntry,
                                                const config::RouteName& aRoute) const
{
  const int tier = TierOf(aEntry.endpoint_);
  if (tier == kSameDomain) {
    return {};
  }
  const auto size = answerKilobytes_.find(aRoute);
  const DistanceCosts& distanceCosts = settings_.distanceCosts_;
  const double kilobytes =
    distanceCosts.overheadKilobytes_ + (size == answerKilobytes_.end() ? 0.0 : size->second);
  const bool isSameRegion = tier == kSameRegion;
  return (isSameRegion ? distanceCosts.crossDomainRoundTrip_
                       : distanceCosts.crossRegionRoundTrip_) +
         Scale(isSameRegion ? distanceCosts.crossDomainCostPerKilobyte_
                            : distanceCosts.crossRegionCostPerKilobyte_,
               kilobytes);
}

common::Duration EndpointPicker::CostOf(const Entry& aEntry,
                                        const config::RouteName& aRoute,
                                        common::Duration aMinWorkTime,
                                        common::TimePoint aNow) const
{
  // An endpoint without a known time is assumed to be fast, but only until it has a request.
  const common::Duration assumed = Scale(aMinWorkTime, kUnknownTimeFactor + aEntry.outstanding_);
  const common::Duration time = aEntry.stats_.WorkTimeOf(aRoute, aNow).value_or(assumed);
  const double load = RelativeLoad(aEntry, aNow);
  return Scale(time, 1.0 + kLoadWeight * load * load) + DistanceCostOf(aEntry, aRoute) +
         Scale(settings_.failureCost_, aEntry.stats_.FailureRate(aNow));
}

std::vector<const EndpointPicker::Entry*> EndpointPicker::Cheapest(
  const std::vector<const Entry*>& aEntries,
  const config::RouteName& aRoute,
  common::TimePoint aNow) const
{
  std::optional<common::Duration> minWorkTime;
  for (const Entry* entry : aEntries) {
    const auto time = entry->stats_.WorkTimeOf(aRoute, aNow);
    if (time && (!minWorkTime || *time < *minWorkTime)) {
      minWorkTime = time;
    }
  }
  std::vector<common::Duration> costs;
  costs.reserve(aEntries.size());
  for (const Entry* entry : aEntries) {
    costs.push_back(CostOf(*entry, aRoute, minWorkTime.value_or(common::Duration(0)), aNow));
  }
  const common::Duration minCost = *std::min_element(costs.begin(), costs.end());
  std::vector<const Entry*> cheapest;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    if (costs[i] <= Scale(minCost, kSimilarCostFactor)) {
      cheapest.push_back(aEntries[i]);
    }
  }
  return Nearest(cheapest);
}

double EndpointPicker::SlowStartFactor(const Entry& aEntry, common::TimePoint aNow) const
{
  const common::Duration age = aNow - aEntry.slowStartAt_;
  if (age >= settings_.slowStartPeriod_) {
    return 1.0;
  }
  const double share =
    static_cast<double>(age.count()) / static_cast<double>(settings_.slowStartPeriod_.count());
  return std::max(kMinSlowStartFactor, share);
}

bool EndpointPicker::IsStalled(const Entry& aEntry, common::TimePoint aNow) const
{
  return aEntry.outstanding_ > 0 && aNow - aEntry.lastProgressAt_ >= settings_.stallTimeout_;
}

bool EndpointPicker::IsExcluded(const Entry& aEntry, common::TimePoint aNow) const
{
  return aEntry.ejectedUntil_ > aNow || IsStalled(aEntry, aNow);
}

bool EndpointPicker::CanEject(common::TimePoint aNow) const
{
  return (EjectedCount(aNow) + 1) * kPercent <= entries_.size() * settings_.maxExcludedPercent_;
}

void EndpointPicker::Eject(Entry& aEntry, common::TimePoint aNow)
{
  const auto doublings = std::min(aEntry.consecutiveEjections_, kMaxEjectionDoublings);
  const common::Duration time = settings_.baseEjectionPeriod_ * (1U << doublings);
  aEntry.ejectedUntil_ = aNow + std::min(time, settings_.maxEjectionPeriod_);
  aEntry.slowStartAt_ = aEntry.ejectedUntil_;
  aEntry.consecutiveFailures_ = 0;
  ++aEntry.consecutiveEjections_;
}

const EndpointPicker::Entry* EndpointPicker::LessLoadedOfTwo(
  const std::vector<const Entry*>& aEntries,
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
  return RelativeLoad(*aEntries[two], aNow) < RelativeLoad(*aEntries[one], aNow) ? aEntries[two]
                                                                                 : aEntries[one];
}

std::vector<const EndpointPicker::Entry*> EndpointPicker::Candidates(
  const std::vector<common::InstanceId>& aTried,
  common::TimePoint aNow) const
{
  std::vector<const Entry*> usable;
  std::vector<const Entry*> excluded;
  for (const auto& [instance, entry] : entries_) {
    if (!Contains(aTried, instance)) {
      (IsExcluded(entry, aNow) ? excluded : usable).push_back(&entry);
    }
  }
  // Above the maximum share, endpoints are used again: first those that are only stalled, then
  // those whose ejection ends first.
  const std::size_t maxExcluded = entries_.size() * settings_.maxExcludedPercent_ / kPercent;
  std::stable_sort(excluded.begin(), excluded.end(), [](const Entry* aLhs, const Entry* aRhs) {
    return aLhs->ejectedUntil_ < aRhs->ejectedUntil_;
  });
  while (excluded.size() > maxExcluded || (usable.empty() && !excluded.empty())) {
    usable.push_back(excluded.front());
    excluded.erase(excluded.begin());
  }
  return usable;
}

} // namespace dandelionstand::caller
