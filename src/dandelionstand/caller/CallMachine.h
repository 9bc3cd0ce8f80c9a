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

//! The life of one call from the request to the whole answer, a refusal or a visible error.
//!
//! Only idempotent requests are sent again after an unknown outcome; any other one only after a
//! refusal that says that the target did not run it. Small answers are held until they are whole;
//! a larger one is passed on as it comes and, if it breaks off, continued or aborted.
class CallMachine
{
public:
  //! Bytes that a target side may send ahead of what the caller has taken.
  static constexpr std::uint32_t kWindowBytes = 256 * 1024;

  CallMachine(CallPlan aPlan, EndpointPicker& aPicker, RetryBudget& aBudget);

  CallActions Begin(common::TimePoint aNow);

  CallActions OnHead(std::uint32_t aAttempt, AttemptHead aHead, common::TimePoint aNow);
  CallActions OnBody(std::uint32_t aAttempt, AttemptBody aBody, common::TimePoint aNow);
  CallActions OnEnd(std::uint32_t aAttempt, const AttemptEnd& aEnd, common::TimePoint aNow);
  CallActions OnFailed(std::uint32_t aAttempt,
                       const AttemptFailed& aFailed,
                       common::TimePoint aNow);
  //! The attempt's message could not be handed to a link at all.
  CallActions OnNotSent(std::uint32_t aAttempt, common::TimePoint aNow);
  //! The link to the endpoint, or the endpoint itself, is gone.
  CallActions OnLinkLost(common::TimePoint aNow);
  CallActions OnCallerDisconnected(common::TimePoint aNow);
  //! The caller took bytes of the body.
  CallActions OnBodyConsumed(std::uint32_t aBytes, common::TimePoint aNow);
  //! To be called at NextDeadline().
  CallActions OnTime(common::TimePoint aNow);

  common::TimePoint NextDeadline() const;
  bool IsDone() const { return done_; }
  //! The running attempt; 0 if none runs.
  std::uint32_t Attempt() const { return isRunning_ ? attempt_ : 0; }
  const Endpoint& CurrentEndpoint() const { return endpoint_; }
  std::uint32_t AttemptsMade() const { return attempt_; }
  //! Time that the target took for the answer that was passed on; 0 if there is none.
  common::Duration TargetTime() const { return targetTime_; }
  //! Answers that belonged to no running attempt, or frames seen before.
  std::uint64_t Dropped() const { return dropped_; }

private:
  bool IsCurrent(std::uint32_t aAttempt);
  void StartAttempt(const std::string& aCause, common::TimePoint aNow, CallActions& aActions);
  void EndAttempt(AttemptResult aResult, common::TimePoint aNow);
  void AttemptBroke(const AttemptFailed& aFailed, common::TimePoint aNow, CallActions& aActions);
  bool MayRetry(const AttemptFailed& aFailed, common::TimePoint aNow);
  std::uint32_t Tries() const;
  std::uint64_t Window() const;
  void GiveUp(const AttemptFailed& aFailed, CallActions& aActions);
  void ContinueDownload(const AttemptFailed& aFailed,
                        common::TimePoint aNow,
                        CallActions& aActions);
  bool IsRetriedStatus(const AttemptHead& aHead) const;
  void PassOn(std::string aData, CallActions& aActions);
  void FlushHeld(CallActions& aActions);
  void CancelRunning(AttemptResult aResult, common::TimePoint aNow, CallActions& aActions);
  common::TimePoint CallDeadline() const;
  bool IsWaitingForCaller() const;

  CallPlan plan_;
  EndpointPicker& picker_;
  RetryBudget& budget_;

  std::uint32_t attempt_ = 0;
  std::uint32_t continuations_ = 0;
  std::uint32_t firstTries_ = 0; //!< Attempts that were not continuations.
  std::uint32_t reached_ = 0;    //!< Attempts that the endpoint itself got.
  bool isRunning_ = false;
  bool done_ = false;
  std::optional<RunState> mayHaveRun_; //!< Set once an attempt ended otherwise than not run.
  Endpoint endpoint_;
  std::vector<common::InstanceId> tried_;
  common::TimePoint attemptDeadline_;
  common::TimePoint lastProgress_;

  std::optional<AttemptHead> head_; //!< Of the running attempt.
  std::optional<BodyCheck> check_;
  std::string held_;
  std::uint64_t skip_ = 0;
  std::uint64_t untaken_ = 0; //!< Bytes passed on that the caller has not taken.
  std::uint64_t credit_ = 0;  //!< Bytes that the target side may still send.
  bool headSent_ = false;
  DownloadProgress progress_;
  common::Duration targetTime_{ 0 };
  std::uint64_t dropped_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallMachine_h
