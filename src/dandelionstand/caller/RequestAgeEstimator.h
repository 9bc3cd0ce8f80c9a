#ifndef dandelionstand_caller_RequestAgeEstimator_h
#define dandelionstand_caller_RequestAgeEstimator_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <cstdint>
#include <map>

namespace dandelionstand::caller {

//! Estimates how long the caller of a request has already been trying.
//!
//! The latency objective of a refused caller that retries counts from its first try, but requests
//! do not state when that was. The callers of a route have similar time-outs, and a first try
//! carries all of it. The age of a request is therefore the longest remaining time seen on the
//! route minus the remaining time of the request, as far as it exceeds the usual variation of the
//! callers' time-outs.
class RequestAgeEstimator
{
public:
  //! aRemainingTime is the time until the caller's deadline, as the request states it.
  common::Duration EstimateAge(const config::RouteName& aRoute,
                               common::Duration aRemainingTime,
                               common::TimePoint aNow);

private:
  struct RouteTimes
  {
    common::Duration longest_{ 0 }; //!< Longest remaining time.
    common::TimePoint longestSeenAt_;
    //! Moving average, in microseconds, of how far short of the longest time others fall.
    double meanShortfall_ = 0;
    std::uint64_t sampleCount_ = 0;
  };

  std::map<config::RouteName, RouteTimes> routes_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RequestAgeEstimator_h
