#ifndef dandelionstand_dialect_CallerRequest_h
#define dandelionstand_dialect_CallerRequest_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/dialect/RunState.h"
#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::dialect {

//! A caller's HTTP request without what concerns only its own connection.
struct CallerRequest
{
  std::string id_; //!< The caller's own name for the request, for logs; may be empty.
  std::string method_;
  std::string host_;
  std::string path_;      //!< Without the query; what routes match.
  std::string target_;    //!< Path and query as they were sent.
  http::Headers headers_; //!< What goes on to the target.
  std::string body_;
  std::string idempotencyKey_;
  std::optional<common::Duration> timeLeft_; //!< How long the caller waits.
  std::uint32_t depth_ = 0;                  //!< Calls above this one.
  bool isValid_ = true;                      //!< False if a header of ours cannot be read.
};

//! An answer of the daemon itself.
struct Refusal
{
  std::uint32_t status_ = 0;
  std::string reason_;
  RunState runState_ = RunState::kNotRun;
  bool deep_ = false;
  std::optional<common::Duration> retryAfter_; //!< When there should be room again.
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_CallerRequest_h
