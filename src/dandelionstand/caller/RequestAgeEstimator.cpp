#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! A route's longest remaining time expires after this period without an equal or longer one, since
//! callers may switch to a shorter time-out.
constexpr common::Duration kMaxSampleAge = std::chrono::seconds(10);

} // namespace

common::Duration RequestAgeEstimator::EstimateAge(const config::RouteName& aRoute,
                                                  common::Duration aRemainingTime,
                                                  common::TimePoint aNow)
{
  MaxRemainingTime& maximum = maxRemainingTimes_[aRoute];
  if (aRemainingTime >= maximum.time_ || aNow - maximum.observedAt_ > kMaxSampleAge) {
    maximum = { aRemainingTime, aNow };
  }
  return std::max(common::Duration(0), maximum.time_ - aRemainingTime);
}

} // namespace dandelionstand::caller
