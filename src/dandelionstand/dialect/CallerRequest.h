#ifndef dandelionstand_dialect_CallerRequest_h
#define dandelionstand_dialect_CallerRequest_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/dialect/RunState.h"
#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::dialect {

//! A caller's HTTP request without its hop-by-hop headers.
struct CallerRequest
{
  std::string clientHost_; //!< IP address of the client.
  //! When its first byte arrived, or earlier if the process reads its sockets late.
  common::TimePoint arrivedAt_;
  common::TimePoint completedAt_; //!< The same of its last byte.
  std::string id_;                //!< The caller's request ID, for logs; may be empty.
  std::string method_;
  std::string host_;
  std::string path_;      //!< Without the query; routes match on it.
  std::string target_;    //!< HTTP request target: path and query as received.
  http::Headers headers_; //!< End-to-end headers, to be forwarded to the target.
  std::string body_;
  std::string idempotencyKey_;
  std::optional<common::Duration> remainingTime_; //!< Until the caller's deadline, if any.
  std::uint32_t depth_ = 0; //!< Number of calls above this one in the call chain.
  bool isValid_ = true;     //!< False if a header of the dialect is malformed.
};

//! An error response that the daemon generates itself.
struct Refusal
{
  std::uint32_t status_ = 0;
  std::string reason_;
  RunState runState_ = RunState::kNotRun;
  bool deep_ = false; //!< Refused further down the call chain; must not be retried.
  std::optional<common::Duration> retryAfter_; //!< Expected time until capacity is available again.
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_CallerRequest_h
