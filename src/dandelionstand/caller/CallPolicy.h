#ifndef dandelionstand_caller_CallPolicy_h
#define dandelionstand_caller_CallPolicy_h

#include "dandelionstand/common/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dandelionstand::caller {

//! Retries and deadlines of all calls of a daemon, in addition to the settings of their routes.
struct CallPolicy
{
  //! Attempts beyond the route's limit, for requests that a daemon refuses before they reach the
  //! endpoint.
  std::uint32_t extraAttempts_ = 0;
  //! Whether a retry after a daemon's refusal is charged to the retry budget like other retries.
  bool chargesRefusalRetries_ = true;
  //! Cost of a second run in the retry budget. A second run repeats the calls that the request
  //! makes, and they count as retries too.
  std::uint32_t rerunCost_ = 1;
  //! Minimum remaining time for a retry; with less, no endpoint could answer in time.
  common::Duration minTimeForRetry_{ 0 };
  //! The call's deadline is earlier than the caller's by this margin, so that an error of this
  //! daemon arrives in time, as do the answers queued behind it on the connection.
  common::Duration callerDeadlineMargin_{ 0 };
  //! Whether an attempt gets half of the remaining time, so that a retry elsewhere has time too.
  bool reservesTimeForRetry_ = true;
  //! Whether idempotent requests are retried after all 5xx answers except 504, or only after 503.
  bool retriesServerErrors_ = false;
  //! Whether callers take the statuses 408, 429 and 503 as the promise that a request did not run.
  bool statusesPromiseNotRun_ = false;
  //! Whether the target side queues requests by the latency objectives of their routes.
  bool hasObjectives_ = false;
  //! Whether the time-out of a route applies to complete downloads, not only to their heads.
  bool enforcesDownloadDeadline_ = false;
  //! Answers up to this size are buffered until they are complete, so that a broken one can be
  //! retried at another endpoint.
  std::size_t answerBufferBytes_ = 64UL * 1024;
  //! Period over which the share of requests of a newly started endpoint grows to its full value.
  common::Duration slowStartPeriod_ = std::chrono::seconds(5);
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallPolicy_h
