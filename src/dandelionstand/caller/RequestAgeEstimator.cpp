#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! A route's longest remaining time expires after this period without an equal or longer one, since
//! callers may switch to a shorter time-out.
constexpr common::Duration kMaxSampleAge = std::chrono::seconds(10);
//! Share of the longest time by which the callers' time-outs may vary. Requests that fall short of
//! it by more are retries.
constexpr double kMaxVariation = 0.2;
//! The variation is estimated from this number of requests on.
constexpr std::uint64_t kMinSamples = 20;
//! Weight of the newest request in the moving average of the shortfall.
constexpr double kShortfallWeight = 0.02;

} // namespace

common::Duration RequestAgeEstimator::EstimateAge(const config::RouteName& aRoute,
                                                  common::Duration aRemainingTime,
                                                  common::TimePoint aNow)
{
  RouteTimes& times = routes_[aRoute];
  if (aRemainingTime >= times.longest_ || aNow - times.longestSeenAt_ > kMaxSampleAge) {
    times.longest_ = aRemainingTime;
    times.longestSeenAt_ = aNow;
  }
  const common::Duration shortfall = times.longest_ - aRemainingTime;
  const auto shortfallUs = static_cast<double>(shortfall.count());
  if (shortfallUs <= kMaxVariation * static_cast<double>(times.longest_.count())) {
    times.meanShortfall_ += kShortfallWeight * (shortfallUs - times.meanShortfall_);
    ++times.sampleCount_;
  }
  // Time-outs that vary evenly fall short of the longest one by up to twice their mean.
  const double variation = times.sampleCount_ >= kMinSamples ? 2 * times.meanShortfall_ : 0;
  return shortfall -
         std::min(shortfall, common::Duration(static_cast<common::Duration::rep>(variation)));
}

} // namespace dandelionstand::caller
