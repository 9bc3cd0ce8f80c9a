#ifndef dandelionstand_caller_CallTypes_h
#define dandelionstand_caller_CallTypes_h

#include "dandelionstand/caller/CallPolicy.h"
#include "dandelionstand/caller/EndpointPicker.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"
#include "dandelionstand/dialect/RunState.h"
#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionstand::caller {

using dialect::RunState;
using http::FindHeader;
using http::Header;
using http::Headers;

//! Parameters of a call, fixed when it begins.
struct CallPlan
{
  config::RouteName route_;
  config::Idempotency idempotency_ = config::Idempotency::kOnce;
  //! Deadline for the head of the answer.
  common::TimePoint headDeadline_;
  //! Deadline for the complete answer; nullopt for downloads that only have to make progress.
  std::optional<common::TimePoint> endDeadline_;
  //! Time of the latency objective, after which an answer loses value; nullopt if the value is the
  //! same until the deadline.
  std::optional<common::TimePoint> objective_;
  //! Estimated time that the caller had been trying before this request; the objective counts from
  //! its first try.
  common::Duration callerAge_{ 0 };
  //! A download without progress for this long is cancelled and continued at another endpoint.
  common::Duration idleTimeout_ = std::chrono::seconds(2);
  //! Maximum attempts that reach an endpoint.
  std::uint32_t attempts_ = 3;
  //! Maximum attempts including those that a daemon refused before they reached the endpoint.
  //! Values below attempts_ mean attempts_.
  std::uint32_t maxTotalAttempts_ = 0;
  //! Whether a broken download may be continued: a GET request without a Range header.
  bool mayContinue_ = false;
  CallPolicy policy_;
};

//! Position at which a broken download is continued.
struct Continuation
{
  std::uint64_t offset_ = 0; //!< Bytes that the caller already has.
  std::string etag_;

  bool operator==(const Continuation&) const = default;
};

//! Sends the request to the endpoint.
struct SendAttempt
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
  std::string retryCause_; //!< Failure of the previous attempt; empty for the first one.
  common::Duration remainingTime_{ 0 };
  std::optional<Continuation> continuation_;
  //! Negative once the objective is missed; nullopt if the call has none.
  std::optional<common::Duration> timeToObjective_;
  bool hasOtherEndpoints_ = false; //!< Another endpoint is tried if this one refuses.
  std::uint32_t creditBytes_ = 0;  //!< Body bytes that may be sent before the first credit.
};

//! Cancels the attempt at the target side.
struct CancelAttempt
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
};

//! Allows the target side to send more of the body.
struct GrantCredit
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
  std::uint32_t bytes_ = 0;
};

//! Begins the answer to the caller.
struct SendHead
{
  std::uint32_t status_ = 0;
  Headers headers_;
};

struct SendBody
{
  std::string data_;
};

//! Ends the answer, which is complete.
struct FinishAnswer
{};

//! Answers with an error of this daemon; nothing was sent before.
struct RefuseCall
{
  std::uint32_t status_ = 0;
  std::string reason_;
  RunState runState_ = RunState::kUnknown;
  bool deep_ = false; //!< The failure occurred further down in the chain of calls.
};

//! Closes the caller's connection: the answer had begun and cannot be completed.
struct AbortAnswer
{
  std::string reason_;
};

using CallAction = std::variant<SendAttempt,
                                CancelAttempt,
                                GrantCredit,
                                SendHead,
                                SendBody,
                                FinishAnswer,
                                RefuseCall,
                                AbortAnswer>;
using CallActions = std::vector<CallAction>;

//! Formats one action per line; only the lengths of bodies are included.
std::string ToText(const CallActions& aActions);

//! Head of an answer from a target side.
struct AttemptHead
{
  std::uint32_t status_ = 0;
  Headers headers_;
};

struct AttemptBody
{
  std::uint64_t sequence_ = 0;
  std::uint64_t checksum_ = 0; //!< XXH3 of the data.
  std::string data_;
};

struct AttemptEnd
{
  std::uint64_t length_ = 0;
  std::uint64_t checksum_ = 0; //!< XXH3 of the complete body.
  ReportedLoad load_;
  common::Duration targetTime_{ 0 }; //!< Time that the target took; 0 if unknown.
};

struct AttemptFailed
{
  std::string reason_;
  RunState runState_ = RunState::kUnknown;
  bool deep_ = false; //!< The failure occurred further down in the chain of calls.
  ReportedLoad load_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallTypes_h
