#include "dandelionstand/caller/RetryAfter.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

using namespace std::chrono_literals;

//! Callers of a draining daemon should retry at another daemon without delay.
constexpr common::Duration kDrainingRetryAfter = 20ms;
//! Bounds of the time to capacity; the delay is one to two times as long. Callers have a time-out
//! of 1.5 to 2 s and wait for at most a third of their remaining time.
constexpr common::Duration kMinWait = 60ms;
constexpr common::Duration kMaxWait = 500ms;

} // namespace

common::Duration RetryAfter(const RefusalContext& aContext, std::mt19937_64& aRandom)
{
  if (aContext.reason_ == "daemon-draining") {
    return kDrainingRetryAfter;
  }
  const common::Duration wait = std::clamp(aContext.timeToCapacity_, kMinWait, kMaxWait);
  std::uniform_int_distribution<common::Duration::rep> spread(wait.count(), 2 * wait.count());
  return common::Duration(spread(aRandom));
}

} // namespace dandelionstand::caller
