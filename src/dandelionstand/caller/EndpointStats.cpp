#include "dandelionstand/caller/EndpointStats.h"

#include <cmath>

namespace dandelionstand::caller {

namespace {

//! Work times expire after this period, so that an endpoint that was slow is tried again: it may
//! have recovered.
constexpr common::Duration kMaxSampleAge = std::chrono::seconds(10);
//! Expired work times are evicted once this many routes are stored. Services on the users' sites
//! use about ten routes.
constexpr std::size_t kEvictionThreshold = 64;
//! Weight of the newest outcome in the failure rate.
constexpr double kOutcomeWeight = 0.1;
//! The failure rate halves in this time while no attempts are made.
constexpr common::Duration kFailureHalfLife = std::chrono::seconds(5);

} // namespace

void EndpointStats::RecordWorkTime(const config::RouteName& aRoute,
                                   common::Duration aWorkTime,
                                   common::TimePoint aNow)
{
  if (workTimes_.size() >= kEvictionThreshold && !workTimes_.contains(aRoute)) {
    EvictExpired(aNow);
  }
  workTimes_[aRoute] = { aWorkTime, aNow };
}

void EndpointStats::EvictExpired(common::TimePoint aNow)
{
  std::erase_if(workTimes_, [&](const auto& aEntry) {
    return aNow - aEntry.second.recordedAt_ > kMaxSampleAge;
  });
}

std::optional<common::Duration> EndpointStats::WorkTimeOf(const config::RouteName& aRoute,
                                                          common::TimePoint aNow) const
{
  const auto found = workTimes_.find(aRoute);
  if (found == workTimes_.end() || aNow - found->second.recordedAt_ > kMaxSampleAge) {
    return std::nullopt;
  }
  return found->second.workTime_;
}

void EndpointStats::RecordOutcome(bool aIsFailure, common::TimePoint aNow)
{
  const double rate = FailureRate(aNow);
  failureRate_ = rate + kOutcomeWeight * ((aIsFailure ? 1.0 : 0.0) - rate);
  lastOutcomeAt_ = aNow;
}

double EndpointStats::FailureRate(common::TimePoint aNow) const
{
  const double halvings = static_cast<double>((aNow - lastOutcomeAt_).count()) /
                          static_cast<double>(kFailureHalfLife.count());
  return failureRate_ == 0 ? 0 : failureRate_ * std::exp2(-halvings);
}

} // namespace dandelionstand::caller
