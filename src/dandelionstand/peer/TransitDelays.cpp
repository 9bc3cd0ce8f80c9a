#include "dandelionstand/peer/TransitDelays.h"

#include <algorithm>

namespace dandelionstand::peer {

namespace {

//! The least difference is that of one to two windows. Longer ones would tell a longer standing
//! queue from the base delay, but for as long all calls of a sender whose clock stood still, as
//! that of a suspended machine, are taken to be late.
constexpr common::Duration kWindow = std::chrono::seconds(15);
//! Clocks drift apart by up to 30 ms in this time, at 100 ppm.
constexpr common::Duration kMaxIdleTime = std::chrono::minutes(5);

} // namespace

common::Duration TransitDelays::Record(const common::InstanceId& aSender,
                                       common::Incarnation aSenderIncarnation,
                                       common::Duration aSentAt,
                                       common::TimePoint aNow,
                                       common::Duration aFirstDelay)
{
  const common::Duration difference = aNow.time_since_epoch() - aSentAt;
  const auto [entry, isNew] =
    senders_.try_emplace(aSender, Sender{ aSenderIncarnation, aNow, difference, difference });
  if (isNew) {
    std::erase_if(senders_, [&](const auto& aKnown) {
      return aNow - aKnown.second.windowStart_ > kMaxIdleTime;
    });
  }
  const bool isFirst = isNew || entry->second.incarnation_ != aSenderIncarnation;
  Sender& sender = entry->second;
  const common::Duration windowAge = aNow - sender.windowStart_;
  if (sender.incarnation_ != aSenderIncarnation || windowAge > kMaxIdleTime) {
    sender = { aSenderIncarnation, aNow, difference, difference };
  } else if (windowAge > kWindow) {
    sender.leastInPreviousWindow_ = sender.leastInWindow_;
    sender.leastInWindow_ = difference;
    sender.windowStart_ = aNow;
  }
  sender.leastInWindow_ = std::min(sender.leastInWindow_, difference);
  // The age that a call may have at most is no base for the calls after it.
  return isFirst ? aFirstDelay
                 : difference - std::min(sender.leastInWindow_, sender.leastInPreviousWindow_);
}

} // namespace dandelionstand::peer
