#ifndef dandelionstand_peer_TransitDelays_h
#define dandelionstand_peer_TransitDelays_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <map>

namespace dandelionstand::peer {

//! Estimates how long the calls of other daemons waited on their way.
//!
//! Designed for a receiver that lags, because it is overloaded or was paused: calls wait in the
//! transport before they are read, and the time left that a call states passes meanwhile. The
//! clocks of two daemons differ by an unknown offset, so the delay of a call is what exceeds the
//! least difference between the times of sending and reading among the recent calls of the same
//! sender (the base delay of RFC 6817).
class TransitDelays
{
public:
  //! Returns the delay of a call that was sent at aSentAt by the monotonic clock of its sender
  //! and is read now. The delay of the first one of a sender can't be told; it is aFirstDelay.
  common::Duration Record(const common::InstanceId& aSender,
                          common::Incarnation aSenderIncarnation,
                          common::Duration aSentAt,
                          common::TimePoint aNow,
                          common::Duration aFirstDelay = common::Duration(0));

private:
  struct Sender
  {
    common::Incarnation incarnation_;
    common::TimePoint windowStart_;
    common::Duration leastInWindow_;
    common::Duration leastInPreviousWindow_;
  };

  std::map<common::InstanceId, Sender> senders_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_TransitDelays_h
