#ifndef dandelionstand_caller_EndpointStats_h
#define dandelionstand_caller_EndpointStats_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <map>
#include <optional>

namespace dandelionstand::caller {

//! What is known of how fast and how reliably one endpoint works.
class EndpointStats
{
public:
  //! The endpoint's own measure of its usual time for requests of a route.
  void NoteTime(const config::RouteName& aRoute, common::Duration aTime, common::TimePoint aNow);
  //! None if nothing recent is known of the route.
  std::optional<common::Duration> TimeOf(const config::RouteName& aRoute,
                                         common::TimePoint aNow) const;

  void NoteOutcome(bool aIsFailure, common::TimePoint aNow);
  //! Share of the recent attempts that failed; falls off while none is made.
  double FailureShare(common::TimePoint aNow) const;

private:
  struct Sample
  {
    common::Duration time_;
    common::TimePoint at_;
  };

  void Forget(common::TimePoint aNow);

  std::map<config::RouteName, Sample> times_;
  double failureShare_ = 0;
  common::TimePoint outcomeAt_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_EndpointStats_h
