#ifndef dandelionstand_caller_RequestAgeEstimator_h
#define dandelionstand_caller_RequestAgeEstimator_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <map>

namespace dandelionstand::caller {

//! Works out how long callers have been trying already.
//!
//! Answers the load pattern of refused callers that come back: their latency objective counts from
//! their first try, which no request names. But a first try carries the caller's whole time, and
//! the callers of a route have the same, so what a request has less than the most has been used.
class RequestAgeEstimator
{
public:
  //! aTimeLeft as the request carries it.
  common::Duration EstimateAge(const config::RouteName& aRoute,
                               common::Duration aTimeLeft,
                               common::TimePoint aNow);

private:
  struct Longest
  {
    common::Duration time_;
    common::TimePoint seenAt_;
  };

  std::map<config::RouteName, Longest> longest_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RequestAgeEstimator_h
