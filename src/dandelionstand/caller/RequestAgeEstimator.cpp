#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! The longest time that was seen holds for this long; callers may come to have less.
constexpr common::Duration kForget = std::chrono::seconds(10);

} // namespace

common::Duration RequestAgeEstimator::EstimateAge(const config::RouteName& aRoute,
                                                  common::Duration aTimeLeft,
                                                  common::TimePoint aNow)
{
  Longest& longest = longest_[aRoute];
  if (aTimeLeft >= longest.time_ || aNow - longest.seenAt_ > kForget) {
    longest = { aTimeLeft, aNow };
  }
  return std::max(common::Duration(0), longest.time_ - aTimeLeft);
}

} // namespace dandelionstand::caller
