#include "dandelionstand/caller/EndpointStats.h"

#include <cmath>

namespace dandelionstand::caller {

namespace {

//! A time counts for this long; then the endpoint is tried again, as slow ones recover.
constexpr common::Duration kFresh = std::chrono::seconds(10);
//! Routes that are kept; a service of the sites has about ten that are used.
constexpr std::size_t kMostRoutes = 64;
//! Weight of the newest outcome in the share of failures.
constexpr double kOutcomeWeight = 0.1;
//! Without attempts the share of failures halves in this time.
constexpr common::Duration kFailureHalfLife = std::chrono::seconds(5);

} // namespace

void EndpointStats::NoteTime(const config::RouteName& aRoute,
                             common::Duration aTime,
                             common::TimePoint aNow)
{
  if (times_.size() >= kMostRoutes && !times_.contains(aRoute)) {
    Forget(aNow);
  }
  times_[aRoute] = { aTime, aNow };
}

void EndpointStats::Forget(common::TimePoint aNow)
{
  std::erase_if(times_, [&](const auto& aEntry) { return aNow - aEntry.second.at_ > kFresh; });
}

std::optional<common::Duration> EndpointStats::TimeOf(const config::RouteName& aRoute,
                                                      common::TimePoint aNow) const
{
  const auto found = times_.find(aRoute);
  if (found == times_.end() || aNow - found->second.at_ > kFresh) {
    return std::nullopt;
  }
  return found->second.time_;
}

void EndpointStats::NoteOutcome(bool aIsFailure, common::TimePoint aNow)
{
  const double share = FailureShare(aNow);
  failureShare_ = share + kOutcomeWeight * ((aIsFailure ? 1.0 : 0.0) - share);
  outcomeAt_ = aNow;
}

double EndpointStats::FailureShare(common::TimePoint aNow) const
{
  const double halvings = static_cast<double>((aNow - outcomeAt_).count()) /
                          static_cast<double>(kFailureHalfLife.count());
  return failureShare_ == 0 ? 0 : failureShare_ * std::exp2(-halvings);
}

} // namespace dandelionstand::caller
