#ifndef dandelionstand_caller_CallPolicy_h
#define dandelionstand_caller_CallPolicy_h

#include "dandelionstand/common/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dandelionstand::caller {

//! How all calls of a daemon are tried, besides what their routes say.
struct CallPolicy
{
  //! Tries of a request besides those that reached an endpoint.
  std::uint32_t extraAttempts_ = 0;
  //! Whether a try after a daemon's refusal takes from the retry budget, as others do.
  bool chargesRefusalRetries_ = true;
  //! What a second run takes from the retry budget: its calls are made again, and count too.
  std::uint32_t rerunCost_ = 1;
  //! With less time left no other endpoint is tried: it could not answer any more.
  common::Duration minTimeForRetry_{ 0 };
  //! An answer of our own leaves this much before the caller's time ends, so that it arrives, and
  //! those that wait behind it on the connection do.
  common::Duration callerDeadlineMargin_{ 0 };
  //! Whether half of the time is kept for an attempt elsewhere.
  bool reservesTimeForRetry_ = true;
  //! Whether a failure that the endpoint answers is tried elsewhere, if it may be repeated.
  bool retriesServerErrors_ = false;
  //! Whether the objectives of routes decide who waits.
  bool hasObjectives_ = false;
  //! Whether a route's limit holds for whole downloads.
  bool enforcesDownloadDeadline_ = false;
  //! Bytes of an answer that are held back until it is whole, so that it can be had elsewhere.
  std::size_t answerBufferBytes_ = 64UL * 1024;
  //! A daemon that started gets a growing share of the work of its service for this long.
  common::Duration slowStartPeriod_ = std::chrono::seconds(5);
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallPolicy_h
