#include "dandelionstand/common/InputAge.h"

namespace dandelionstand::common {

namespace {

//! A poll that takes longer has found nothing at its beginning.
constexpr Duration kMinWait = std::chrono::milliseconds(1);
//! A loop that keeps up wakes for its timers at least this often, so a smaller bound says nothing
//! about the input. Callers have deadlines of some hundred milliseconds or more.
constexpr Duration kUsualBound = std::chrono::milliseconds(100);

} // namespace

void InputAge::OnPollStarted(TimePoint aNow)
{
  pollStartedAt_ = aNow;
}

void InputAge::OnPollReturned(TimePoint aNow)
{
  const Duration wait = aNow - pollStartedAt_;
  const bool isFirst = lastCheckedAt_ == TimePoint();
  earliestArrivalAt_ = wait > kMinWait || isFirst ? pollStartedAt_ : lastCheckedAt_;
  // A signal interrupts the poll of a process that was paused, and then it reports nothing.
  lastCheckedAt_ = wait > kUsualBound ? pollStartedAt_ : aNow;
}

Duration InputAge::Bound(TimePoint aNow) const
{
  const Duration bound = earliestArrivalAt_ < aNow ? aNow - earliestArrivalAt_ : Duration(0);
  return bound > kUsualBound ? bound : Duration(0);
}

} // namespace dandelionstand::common
