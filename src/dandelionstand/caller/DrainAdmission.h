#ifndef dandelionstand_caller_DrainAdmission_h
#define dandelionstand_caller_DrainAdmission_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::caller {

//! Phases of a graceful stop, measured from its start.
struct DrainTimes
{
  //! Every request is accepted during this time, since clients cannot know of the stop yet.
  common::Duration acceptAllPeriod_{ 0 };
  //! After this time the process may end, which breaks off unfinished requests.
  common::Duration drainPeriod_{ 0 };
};

//! Decides which new requests a stopping daemon still accepts.
//!
//! A request is accepted if its own deadline lies before the end of the process. In a rolling
//! restart clients keep sending for seconds after the stop begins, and a refused client moves on to
//! a daemon that the restart reaches next; so as few requests as possible are refused.
class DrainAdmission
{
public:
  void Start(const DrainTimes& aTimes, common::TimePoint aNow);
  //! Refuses every request from now on.
  void Stop();
  //! Whether to accept a request whose final answer is due by aDeadline.
  bool Admits(common::TimePoint aDeadline, common::TimePoint aNow) const;

private:
  bool isDraining_ = false;
  common::TimePoint acceptAllUntil_;
  common::TimePoint drainEndsAt_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_DrainAdmission_h
