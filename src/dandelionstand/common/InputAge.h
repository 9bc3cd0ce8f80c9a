#ifndef dandelionstand_common_InputAge_h
#define dandelionstand_common_InputAge_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::common {

//! Bounds the time that input had waited in its socket when an event loop reads it.
//!
//! Designed for a process that gets too little processor time or was paused: it reads requests
//! late, and their time left has passed meanwhile. A socket does not say when its bytes arrived,
//! but what one poll reports had not arrived when the poll before it returned. If a poll had to
//! wait, nothing was there when it began. The loop must have a timer that wakes it every 100 ms or
//! more often.
class InputAge
{
public:
  //! The loop is about to poll its descriptors.
  void OnPollStarted(TimePoint aNow);
  //! The poll has returned.
  void OnPollReturned(TimePoint aNow);

  //! Maximum age of input that is read at aNow. 0 below the delays of a loop that keeps up.
  Duration Bound(TimePoint aNow) const;

private:
  TimePoint pollStartedAt_;
  TimePoint lastCheckedAt_; //!< What arrived earlier was reported by the last poll.
  TimePoint earliestArrivalAt_ = TimePoint::max();
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_InputAge_h
