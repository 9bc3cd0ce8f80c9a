#ifndef dandelionstand_caller_CallMachine_h
#define dandelionstand_caller_CallMachine_h

#include "dandelionstand/caller/BodyCheck.h"
#include "dandelionstand/caller/CallTypes.h"
#include "dandelionstand/caller/DownloadProgress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::caller {

class RetryBudget;

//! State machine of one call, from the request to the complete answer, a refusal or an abort. Each
//! event returns the actions that the owner carries out.
//!
//! Only idempotent requests are retried after an unknown outcome; all others only after a refusal
//! which says that the target did not run them. Small answers are buffered until they are complete,
//! so that a broken one can be retried. Larger answers are streamed; one that breaks off is
//! continued at another endpoint if possible, and aborted otherwise.
class CallMachine
{
public:
  //! Lower bound of the flow control window: bytes that the target side may send ahead of what the
  //! caller has consumed.
  static constexpr std::uint32_t kMinWindowBytes = 256 * 1024;

  CallMachine(CallPlan aPlan, EndpointPicker& aPicker, RetryBudget& aBudget);

  CallActions Begin(common::TimePoint aNow);

  CallActions OnHead(std::uint32_t aAttempt, AttemptHead aHead, common::TimePoint aNow);
  CallActions OnBody(std::uint32_t aAttempt, AttemptBody aBody, common::TimePoint aNow);
  CallActions OnEnd(std::uint32_t aAttempt, const AttemptEnd& aEnd, common::TimePoint aNow);
  CallActions OnFailed(std::uint32_t aAttempt,
                       const AttemptFailed& aFailed,
                       common::TimePoint aNow);
  //! The message that starts the attempt could not be handed to a link.
  CallActions OnSendFailed(std::uint32_t aAttempt, common::TimePoint aNow);
  //! The call may no longer be sent; the attempt that was started has not been.
  CallActions OnPermissionLost(const std::string& aReason, common::TimePoint aNow);
  //! The link to the current endpoint was lost, or the endpoint was removed.
  CallActions OnLinkLost(common::TimePoint aNow);
  CallActions OnCallerDisconnected(common::TimePoint aNow);
  //! The body of the running attempt's request is sent later. Until MarkRequestComplete() the
  //! target cannot run the request, whatever happens to the attempt.
  void MarkRequestIncomplete() { isRequestComplete_ = false; }
  void MarkRequestComplete() { isRequestComplete_ = true; }
  //! The caller consumed aBytes of the body.
  CallActions OnBodyConsumed(std::uint32_t aBytes, common::TimePoint aNow);
  //! Must be called at NextDeadline().
  CallActions OnTimer(common::TimePoint aNow);

  common::TimePoint NextDeadline() const;
  bool IsDone() const { return isDone_; }
  const CallPlan& Plan() const { return plan_; }
  //! Number of the running attempt; 0 if none is running.
  std::uint32_t RunningAttempt() const { return isRunning_ ? attempt_ : 0; }
  const Endpoint& CurrentEndpoint() const { return endpoint_; }
  std::uint32_t AttemptsMade() const { return attempt_; }
  //! Time that the target took for the forwarded answer; 0 if there is none or it is unknown.
  common::Duration TargetTime() const { return targetTime_; }
  //! Number of messages ignored: for an attempt that is not running, or duplicate.
  std::uint64_t DroppedMessages() const { return droppedMessages_; }

private:
  bool IsCurrent(std::uint32_t aAttempt);
  void StartAttempt(const std::string& aRetryCause, common::TimePoint aNow, CallActions& aActions);
  void EndAttempt(AttemptResult aResult, common::TimePoint aNow);
  void HandleAttemptFailure(const AttemptFailed& aFailed,
                            common::TimePoint aNow,
                            CallActions& aActions);
  //! Counts the failed attempt and returns whether it is retried. A retry is charged to the budget.
  bool AdmitRetry(const AttemptFailed& aFailed, common::TimePoint aNow);
  std::uint32_t MaxTotalAttempts() const;
  std::uint64_t WindowBytes() const;
  //! Refuses the call, or aborts the answer if its head was sent.
  void FailCall(const AttemptFailed& aFailed, CallActions& aActions);
  void ContinueDownload(const AttemptFailed& aFailed,
                        common::TimePoint aNow,
                        CallActions& aActions);
  void ForwardBody(std::string aData, CallActions& aActions);
  void FlushBuffer(CallActions& aActions);
  void CancelRunningAttempt(AttemptResult aResult, common::TimePoint aNow, CallActions& aActions);
  common::TimePoint CallDeadline() const;
  bool IsWaitingForCaller() const;
  //! What is known of the running attempt if nothing more is received of it.
  RunState RunStateOfLostAttempt() const;

  CallPlan plan_;
  EndpointPicker& picker_;
  RetryBudget& budget_;

  std::uint32_t attempt_ = 0;
  std::uint32_t continuations_ = 0;
  std::uint32_t attemptsBeforeHead_ = 0; //!< Attempts that are not continuations.
  std::uint32_t endpointAttempts_ = 0;   //!< Failed attempts that reached the endpoint.
  bool isRunning_ = false;
  bool isRequestComplete_ = true; //!< All of the running attempt's request was sent.
  bool isDone_ = false;
  //! Of the last failed attempt that may have run; unset if there was none.
  std::optional<RunState> possibleRunState_;
  Endpoint endpoint_;
  std::vector<common::InstanceId> triedInstances_;
  common::TimePoint attemptDeadline_;
  common::TimePoint lastProgressAt_;

  std::optional<AttemptHead> head_; //!< Of the running attempt.
  std::optional<BodyCheck> bodyCheck_;
  std::string bufferedBody_;
  std::uint64_t bytesToSkip_ = 0;     //!< Bytes of a repeated answer that the caller already has.
  std::uint64_t unconsumedBytes_ = 0; //!< Bytes forwarded, but not consumed by the caller.
  std::uint64_t remainingCredit_ = 0; //!< Bytes that the target side may still send.
  bool isHeadSent_ = false;
  DownloadProgress download_;
  common::Duration targetTime_{ 0 };
  std::uint64_t droppedMessages_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallMachine_h
