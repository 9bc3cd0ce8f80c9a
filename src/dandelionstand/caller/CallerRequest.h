#ifndef dandelionstand_caller_CallerRequest_h
#define dandelionstand_caller_CallerRequest_h

#include "dandelionstand/caller/CallTypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::caller {

//! A caller's HTTP request without what concerns only its own connection.
struct CallerRequest
{
  std::string method_;
  std::string path_;   //!< Without the query; what routes match.
  std::string target_; //!< Path and query as they were sent.
  Headers headers_;    //!< End-to-end headers.
  std::string body_;
  std::string idempotencyKey_;
  std::optional<common::Duration> timeLeft_; //!< From the header Deadline-Ms.
  std::uint32_t depth_ = 0;                  //!< Calls above this one, from Dandelion-Depth.
  bool isValid_ = true;                      //!< False if a header of ours cannot be read.
};

//! An answer of the daemon itself.
struct Refusal
{
  std::uint32_t status_ = 0;
  std::string reason_;
  RunState runState_ = RunState::kNotRun;
  bool deep_ = false;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerRequest_h
