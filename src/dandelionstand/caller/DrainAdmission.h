#ifndef dandelionstand_caller_DrainAdmission_h
#define dandelionstand_caller_DrainAdmission_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::caller {

//! Times of a graceful stop, from its begin.
struct DrainTimes
{
  //! Until then every request is taken: clients have not noticed the stop yet.
  common::Duration acceptAllPeriod_{ 0 };
  //! The process may end at this time; whatever it works on then is cut.
  common::Duration drainPeriod_{ 0 };
};

//! Decides which requests a stopping daemon still takes.
//!
//! Answers the load pattern of a rolling restart: clients go on sending for seconds, and each
//! refusal sends them to daemons that the restart reaches next. A request is taken as long as it
//! is certain to be over, by its own deadline, before the process ends.
class DrainAdmission
{
public:
  void Start(const DrainTimes& aTimes, common::TimePoint aNow);
  //! From now on nothing is taken.
  void Stop();
  //! aDeadline is the time by which the request has its final answer.
  bool Takes(common::TimePoint aDeadline, common::TimePoint aNow) const;

private:
  bool isDraining_ = false;
  common::TimePoint takesAllUntil_;
  common::TimePoint drainPeriod_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_DrainAdmission_h
