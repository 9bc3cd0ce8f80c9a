#ifndef dandelionstand_caller_RequestAgeEstimator_h
#define dandelionstand_caller_RequestAgeEstimator_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <map>

namespace dandelionstand::caller {

//! Estimates how long the caller of a request has already been trying.
//!
//! The latency objective of a refused caller that retries counts from its first try, but requests
//! do not state when that was. All callers of a route have the same time-out, and a first try
//! carries all of it. The age of a request is therefore the longest remaining time seen on the
//! route minus the remaining time of the request.
class RequestAgeEstimator
{
public:
  //! aRemainingTime is the time until the caller's deadline, as the request states it.
  common::Duration EstimateAge(const config::RouteName& aRoute,
                               common::Duration aRemainingTime,
                               common::TimePoint aNow);

private:
  struct MaxRemainingTime
  {
    common::Duration time_;
    common::TimePoint observedAt_;
  };

  std::map<config::RouteName, MaxRemainingTime> maxRemainingTimes_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RequestAgeEstimator_h
