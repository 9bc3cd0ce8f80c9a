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

//! What is known of a call when it begins.
struct CallPlan
{
  config::RouteName route_;
  config::Idempotency idempotency_ = config::Idempotency::kOnce;
  //! Time for the head of the answer.
  common::TimePoint headDeadline_;
  //! Time for the whole answer; nullopt for downloads, which only have to go on.
  std::optional<common::TimePoint> endDeadline_;
  //! Time for an answer of full worth; none: an answer is worth the same until the deadline.
  std::optional<common::TimePoint> objective_;
  //! A download without any progress for this long is broken off and continued elsewhere.
  common::Duration idleTimeout_ = std::chrono::seconds(2);
  //! Endpoints that the request may reach.
  std::uint32_t attempts_ = 3;
  //! Tries in all, with those that a daemon refused before the endpoint. 0: as many as attempts_.
  std::uint32_t maxTotalAttempts_ = 0;
  //! GET without a Range header of the caller's own.
  bool mayContinue_ = false;
  CallPolicy policy_;
};

//! Where a broken download goes on.
struct Continuation
{
  std::uint64_t offset_ = 0; //!< Bytes that the caller already has.
  std::string etag_;

  bool operator==(const Continuation&) const = default;
};

//! Send the request to the endpoint.
struct SendAttempt
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
  std::string cause_; //!< Why the attempt before this one is not the answer; empty for the first.
  common::Duration remainingTime_{ 0 };
  std::optional<Continuation> continuation_;
  //! Until the latency objective; negative once it is missed. None: the call has no objective.
  std::optional<common::Duration> timeToObjective_;
  bool hasOtherEndpoints_ = false; //!< Another endpoint will be tried if this one refuses.
  std::uint32_t creditBytes_ = 0;  //!< Body bytes that may be sent before the first credit.
};

//! Tell the target side that the attempt is not wanted any more.
struct CancelAttempt
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
};

//! Let the target side send more of the body.
struct GrantCredit
{
  std::uint32_t attempt_ = 0;
  Endpoint endpoint_;
  std::uint32_t bytes_ = 0;
};

//! Begin the answer to the caller.
struct SendHead
{
  std::uint32_t status_ = 0;
  Headers headers_;
};

struct SendBody
{
  std::string data_;
};

//! The answer is whole.
struct FinishAnswer
{};

//! Answer with an error of our own; nothing was sent before.
struct RefuseCall
{
  std::uint32_t status_ = 0;
  std::string reason_;
  RunState runState_ = RunState::kUnknown;
  bool deep_ = false;
};

//! Break off the caller's connection: the answer had begun and cannot be completed.
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

//! The actions as text, one a line; bodies by their length.
std::string ToText(const CallActions& aActions);

//! The head of an answer from a target side.
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
  std::uint64_t checksum_ = 0; //!< XXH3 of the whole body.
  ReportedLoad load_;
  common::Duration targetTime_{ 0 }; //!< That the target took for the answer; 0: unknown.
};

struct AttemptFailed
{
  std::string reason_;
  RunState runState_ = RunState::kUnknown;
  bool deep_ = false;
  ReportedLoad load_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallTypes_h
