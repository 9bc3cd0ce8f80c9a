#ifndef dandelionstand_caller_EndpointStats_h
#define dandelionstand_caller_EndpointStats_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <map>
#include <optional>

namespace dandelionstand::caller {

//! Recent work times and failure rate of one endpoint.
class EndpointStats
{
public:
  //! Records the usual work time for a route, as the endpoint reports it.
  void RecordWorkTime(const config::RouteName& aRoute,
                      common::Duration aWorkTime,
                      common::TimePoint aNow);
  //! nullopt if no recent work time of the route is known.
  std::optional<common::Duration> WorkTimeOf(const config::RouteName& aRoute,
                                             common::TimePoint aNow) const;

  void RecordOutcome(bool aIsFailure, common::TimePoint aNow);
  //! Share of failed attempts, as a moving average that decays while no attempts are made.
  double FailureRate(common::TimePoint aNow) const;

private:
  struct Sample
  {
    common::Duration workTime_;
    common::TimePoint recordedAt_;
  };

  void EvictExpired(common::TimePoint aNow);

  std::map<config::RouteName, Sample> workTimes_;
  double failureRate_ = 0;
  common::TimePoint lastOutcomeAt_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_EndpointStats_h
