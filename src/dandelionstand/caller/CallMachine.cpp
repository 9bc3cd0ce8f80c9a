#include "dandelionstand/caller/CallMachine.h"

#include "dandelionstand/caller/AnswerPolicy.h"
#include "dandelionstand/caller/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

using config::Idempotency;

namespace {

constexpr std::uint32_t kFirstServerError = 500;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;

constexpr std::uint32_t kMaxContinuations = 32;
//! The window exceeds the answer buffer by this much. Buffered bytes are not consumed by the caller
//! and earn no credit, so the target side must be able to send more than the buffer holds.
constexpr std::uint64_t kBufferMargin = 64UL * 1024;

//! The target side gets a deadline earlier by this margin, so that its refusal still arrives.
constexpr common::Duration kTargetDeadlineMargin = std::chrono::milliseconds(30);
constexpr int kMarginDivisor = 10; //!< The margin is at most a tenth of the remaining time.

constexpr const char* kTimeoutReason = "timeout";
constexpr const char* kTargetTimeoutReason = "target-timeout";
constexpr const char* kTargetShedReason = "target-shed";
constexpr const char* kBrokenAnswerReason = "broken-answer";

//! Whether a retry after a refusal with this reason is free of charge. These refusals are not
//! caused by load: the endpoint is leaving, not ready, replaced or not connected.
bool IsBudgetExempt(const std::string& aReason)
{
  return aReason == "draining" || aReason == "target-not-ready" || aReason == "wrong-incarnation" ||
         aReason == "not-sent" || aReason == "permission-unconfirmed";
}

//! Whether every endpoint would refuse for the same reason.
bool IsFinal(const AttemptFailed& aFailed)
{
  return aFailed.deep_ || aFailed.reason_ == "key-withdrawn";
}

//! Whether the endpoint received the request, or may have received it.
bool ReachedEndpoint(const AttemptFailed& aFailed)
{
  return aFailed.runState_ != RunState::kNotRun || aFailed.reason_ == kTargetShedReason;
}

AttemptResult ResultOf(const AttemptFailed& aFailed)
{
  if (aFailed.runState_ != RunState::kNotRun) {
    return AttemptResult::kFailed;
  }
  return aFailed.reason_ == kTargetShedReason ? AttemptResult::kShed : AttemptResult::kRefused;
}

common::Duration WithoutMargin(common::Duration aRemainingTime)
{
  return aRemainingTime - std::min(kTargetDeadlineMargin, aRemainingTime / kMarginDivisor);
}

} // namespace

CallMachine::CallMachine(CallPlan aPlan, EndpointPicker& aPicker, RetryBudget& aBudget)
  : plan_(std::move(aPlan))
  , picker_(aPicker)
  , budget_(aBudget)
{
}

CallActions CallMachine::Begin(common::TimePoint aNow)
{
  CallActions actions;
  budget_.RecordCall(aNow);
  lastProgressAt_ = aNow;
  if (aNow >= CallDeadline()) {
    FailCall({ kTimeoutReason, RunState::kNotRun }, actions);
    return actions;
  }
  StartAttempt("", aNow, actions);
  return actions;
}

CallActions CallMachine::OnHead(std::uint32_t aAttempt, AttemptHead aHead, common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt) || head_.has_value()) {
    return actions;
  }
  lastProgressAt_ = aNow;
  picker_.OnAttemptProgress(endpoint_.instance_, aNow);
  if (isHeadSent_ && !download_.Accepts(aHead, bytesToSkip_)) {
    CancelRunningAttempt(AttemptResult::kCancelled, aNow, actions);
    FailCall({ "representation-changed", RunState::kRun }, actions);
    return actions;
  }
  head_ = std::move(aHead);
  bodyCheck_.emplace();
  return actions;
}

CallActions CallMachine::OnBody(std::uint32_t aAttempt, AttemptBody aBody, common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  lastProgressAt_ = aNow;
  picker_.OnAttemptProgress(endpoint_.instance_, aNow);
  const auto frame = head_ ? bodyCheck_->Add(aBody) : BodyCheck::Frame::kBroken;
  if (frame == BodyCheck::Frame::kDuplicate) {
    ++droppedMessages_;
    return actions;
  }
  if (frame == BodyCheck::Frame::kBroken) {
    CancelRunningAttempt(AttemptResult::kFailed, aNow, actions);
    HandleAttemptFailure(
      { kBrokenAnswerReason, head_ ? RunState::kRun : RunState::kUnknown }, aNow, actions);
    return actions;
  }
  remainingCredit_ -= std::min<std::uint64_t>(remainingCredit_, aBody.data_.size());
  const std::uint64_t skipped = std::min<std::uint64_t>(bytesToSkip_, aBody.data_.size());
  if (skipped > 0) {
    bytesToSkip_ -= skipped;
    remainingCredit_ += skipped;
    aBody.data_.erase(0, skipped);
    actions.push_back(GrantCredit{ attempt_, endpoint_, static_cast<std::uint32_t>(skipped) });
  }
  ForwardBody(std::move(aBody.data_), actions);
  return actions;
}

CallActions CallMachine::OnEnd(std::uint32_t aAttempt,
                               const AttemptEnd& aEnd,
                               common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  picker_.OnLoadReport(endpoint_.instance_, plan_.route_, aEnd.load_, aNow);
  if (!head_ || !bodyCheck_->MatchesEnd(aEnd) || bytesToSkip_ > 0) {
    EndAttempt(AttemptResult::kFailed, aNow);
    HandleAttemptFailure(
      { kBrokenAnswerReason, head_ ? RunState::kRun : RunState::kUnknown }, aNow, actions);
    return actions;
  }
  const bool isError = head_->status_ >= kFirstServerError;
  EndAttempt(isError ? AttemptResult::kServerError : AttemptResult::kAnswered, aNow);
  if (!isError) {
    picker_.RecordAnswerSize(plan_.route_, aEnd.length_);
  }
  const AttemptFailed unavailable{ "target-unavailable", RunState::kRun };
  if (!isHeadSent_ && IsRetryableAnswer(plan_, *head_) && AdmitRetry(unavailable, aNow)) {
    possibleRunState_ = RunState::kRun;
    StartAttempt(unavailable.reason_, aNow, actions);
    return actions;
  }
  if (IsFalsePromise(plan_, *head_)) {
    FailCall({ "unmarked-refusal", RunState::kRun }, actions);
    return actions;
  }
  targetTime_ = aEnd.targetTime_;
  FlushBuffer(actions);
  actions.push_back(FinishAnswer{});
  isDone_ = true;
  return actions;
}

CallActions CallMachine::OnFailed(std::uint32_t aAttempt,
                                  const AttemptFailed& aFailed,
                                  common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  picker_.OnLoadReport(endpoint_.instance_, plan_.route_, aFailed.load_, aNow);
  // An endpoint that refuses is alive; only failures of started requests count against it.
  EndAttempt(ResultOf(aFailed), aNow);
  HandleAttemptFailure(aFailed, aNow, actions);
  return actions;
}

CallActions CallMachine::OnSendFailed(std::uint32_t aAttempt, common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  EndAttempt(AttemptResult::kFailed, aNow);
  HandleAttemptFailure({ "not-sent", RunState::kNotRun }, aNow, actions);
  return actions;
}

CallActions CallMachine::OnPermissionLost(const std::string& aReason, common::TimePoint aNow)
{
  CallActions actions;
  EndAttempt(AttemptResult::kCancelled, aNow);
  FailCall({ aReason, RunState::kNotRun }, actions);
  return actions;
}

CallActions CallMachine::OnLinkLost(common::TimePoint aNow)
{
  CallActions actions;
  if (!isRunning_) {
    return actions;
  }
  EndAttempt(AttemptResult::kFailed, aNow);
  HandleAttemptFailure({ "link-lost", RunStateOfLostAttempt() }, aNow, actions);
  return actions;
}

CallActions CallMachine::OnCallerDisconnected(common::TimePoint aNow)
{
  CallActions actions;
  CancelRunningAttempt(AttemptResult::kCancelled, aNow, actions);
  isDone_ = true;
  return actions;
}

CallActions CallMachine::OnBodyConsumed(std::uint32_t aBytes, common::TimePoint aNow)
{
  CallActions actions;
  unconsumedBytes_ -= std::min<std::uint64_t>(unconsumedBytes_, aBytes);
  if (!isRunning_ || aBytes == 0) {
    return actions;
  }
  if (remainingCredit_ == 0) {
    lastProgressAt_ = aNow;
  }
  // Unconsumed data of an earlier attempt occupies the window too; grant only what is free.
  const std::uint64_t freeWindow = WindowBytes() - std::min(WindowBytes(), unconsumedBytes_);
  if (freeWindow > remainingCredit_) {
    const auto granted = static_cast<std::uint32_t>(freeWindow - remainingCredit_);
    remainingCredit_ = freeWindow;
    actions.push_back(GrantCredit{ attempt_, endpoint_, granted });
  }
  return actions;
}

CallActions CallMachine::OnTimer(common::TimePoint aNow)
{
  CallActions actions;
  if (isDone_ || aNow < NextDeadline()) {
    return actions;
  }
  const AttemptFailed timedOut{ kTimeoutReason, RunStateOfLostAttempt() };
  CancelRunningAttempt(AttemptResult::kFailed, aNow, actions);
  HandleAttemptFailure(timedOut, aNow, actions);
  return actions;
}

common::TimePoint CallMachine::NextDeadline() const
{
  if (isDone_) {
    return common::TimePoint::max();
  }
  if (!isHeadSent_) {
    return std::min(attemptDeadline_, CallDeadline());
  }
  const common::TimePoint end = plan_.endDeadline_.value_or(common::TimePoint::max());
  return IsWaitingForCaller() ? end : std::min(end, lastProgressAt_ + plan_.idleTimeout_);
}

bool CallMachine::IsCurrent(std::uint32_t aAttempt)
{
  if (isRunning_ && aAttempt == attempt_) {
    return true;
  }
  ++droppedMessages_;
  return false;
}

void CallMachine::StartAttempt(const std::string& aRetryCause,
                               common::TimePoint aNow,
                               CallActions& aActions)
{
  head_.reset();
  bodyCheck_.reset();
  bufferedBody_.clear();
  bytesToSkip_ = 0;
  auto picked = picker_.Pick(triedInstances_, plan_.route_, aNow);
  if (!picked && isHeadSent_) {
    // A continuation may return to an endpoint that failed before.
    triedInstances_.clear();
    picked = picker_.Pick(triedInstances_, plan_.route_, aNow);
  }
  if (!picked) {
    FailCall({ "no-endpoint", isHeadSent_ ? RunState::kRun : RunState::kNotRun }, aActions);
    return;
  }
  endpoint_ = *picked;
  triedInstances_.push_back(endpoint_.instance_);
  ++attempt_;
  isRunning_ = true;
  isRequestComplete_ = true;
  // Unconsumed data of an earlier attempt still occupies the window.
  remainingCredit_ = WindowBytes() - std::min(WindowBytes(), unconsumedBytes_);
  picker_.OnAttemptStarted(endpoint_.instance_, aNow);

  SendAttempt send{ attempt_, endpoint_, aRetryCause };
  send.creditBytes_ = static_cast<std::uint32_t>(remainingCredit_);
  if (isHeadSent_) {
    send.continuation_ = download_.NextContinuation();
    lastProgressAt_ = aNow;
    send.remainingTime_ = WithoutMargin(NextDeadline() - aNow);
  } else {
    ++attemptsBeforeHead_;
    const common::Duration remaining = CallDeadline() - aNow;
    const bool reservesRetryTime = plan_.policy_.reservesTimeForRetry_ &&
                                   plan_.idempotency_ == Idempotency::kIdempotent &&
                                   attemptsBeforeHead_ < plan_.attempts_;
    // Half of the time is reserved for a retry at another endpoint.
    const common::Duration attemptTime = reservesRetryTime ? remaining / 2 : remaining;
    attemptDeadline_ = aNow + attemptTime;
    send.remainingTime_ = WithoutMargin(attemptTime);
    send.hasOtherEndpoints_ =
      attemptsBeforeHead_ < MaxTotalAttempts() && picker_.HasOtherEndpoint(triedInstances_);
    if (plan_.objective_) {
      send.timeToObjective_ = *plan_.objective_ - aNow;
    }
  }
  aActions.push_back(std::move(send));
}

void CallMachine::EndAttempt(AttemptResult aResult, common::TimePoint aNow)
{
  isRunning_ = false;
  picker_.OnAttemptEnded(endpoint_.instance_, aResult, aNow);
}

void CallMachine::HandleAttemptFailure(const AttemptFailed& aFailed,
                                       common::TimePoint aNow,
                                       CallActions& aActions)
{
  if (isHeadSent_) {
    ContinueDownload(aFailed, aNow, aActions);
    return;
  }
  if (aFailed.runState_ != RunState::kNotRun) {
    possibleRunState_ = aFailed.runState_;
  }
  if (AdmitRetry(aFailed, aNow)) {
    StartAttempt(aFailed.reason_, aNow, aActions);
    return;
  }
  FailCall(aFailed, aActions);
}

bool CallMachine::AdmitRetry(const AttemptFailed& aFailed, common::TimePoint aNow)
{
  const bool isSafe =
    aFailed.runState_ == RunState::kNotRun || plan_.idempotency_ == Idempotency::kIdempotent;
  const bool reachedEndpoint = ReachedEndpoint(aFailed);
  endpointAttempts_ += reachedEndpoint ? 1 : 0;
  if (!isSafe || IsFinal(aFailed) || attemptsBeforeHead_ >= MaxTotalAttempts() ||
      endpointAttempts_ >= plan_.attempts_ || !picker_.HasOtherEndpoint(triedInstances_)) {
    return false;
  }
  // An endpoint that cannot answer in time would only refuse, and delay the answer to the caller.
  const common::Duration minTime = std::max(
    plan_.policy_.minTimeForRetry_, picker_.MinWorkTime(triedInstances_, plan_.route_, aNow));
  if (minTime >= CallDeadline() - aNow) {
    return false;
  }
  const bool isExempt =
    IsBudgetExempt(aFailed.reason_) || (!reachedEndpoint && !plan_.policy_.chargesRefusalRetries_);
  // A second run repeats the calls that the request makes to other services.
  const std::uint32_t cost = aFailed.runState_ == RunState::kNotRun ? 1 : plan_.policy_.rerunCost_;
  return isExempt || budget_.TrySpend(aNow, cost);
}

std::uint32_t CallMachine::MaxTotalAttempts() const
{
  return std::max(plan_.maxTotalAttempts_, plan_.attempts_);
}

std::uint64_t CallMachine::WindowBytes() const
{
  return std::max<std::uint64_t>(kMinWindowBytes, plan_.policy_.answerBufferBytes_ + kBufferMargin);
}

void CallMachine::FailCall(const AttemptFailed& aFailed, CallActions& aActions)
{
  isDone_ = true;
  if (isHeadSent_) {
    aActions.push_back(AbortAnswer{ aFailed.reason_ });
    return;
  }
  // The last attempt may have been refused as not run although an earlier one ran.
  const RunState runState = possibleRunState_.value_or(aFailed.runState_);
  std::uint32_t status = kBadGateway;
  if (runState == RunState::kNotRun) {
    status = kServiceUnavailable;
  } else if (aFailed.reason_ == kTimeoutReason || aFailed.reason_ == kTargetTimeoutReason) {
    status = kGatewayTimeout;
  }
  aActions.push_back(RefuseCall{ status, aFailed.reason_, runState, aFailed.deep_ });
}

void CallMachine::ContinueDownload(const AttemptFailed& aFailed,
                                   common::TimePoint aNow,
                                   CallActions& aActions)
{
  if (download_.IsComplete()) {
    aActions.push_back(FinishAnswer{});
    isDone_ = true;
    return;
  }
  const bool isInTime = aNow < plan_.endDeadline_.value_or(common::TimePoint::max());
  if (!download_.CanContinue() || !isInTime || continuations_ >= kMaxContinuations) {
    FailCall(aFailed, aActions);
    return;
  }
  ++continuations_;
  StartAttempt(aFailed.reason_, aNow, aActions);
}

void CallMachine::ForwardBody(std::string aData, CallActions& aActions)
{
  if (aData.empty()) {
    return;
  }
  if (isHeadSent_) {
    download_.AddForwarded(aData.size());
    unconsumedBytes_ += aData.size();
    aActions.push_back(SendBody{ std::move(aData) });
    return;
  }
  if (IsFalsePromise(plan_, *head_)) {
    return; // The answer is replaced at its end.
  }
  bufferedBody_ += aData;
  if (bufferedBody_.size() > plan_.policy_.answerBufferBytes_) {
    FlushBuffer(aActions);
  }
}

void CallMachine::FlushBuffer(CallActions& aActions)
{
  if (isHeadSent_) {
    return;
  }
  download_.Begin(*head_, plan_.mayContinue_);
  aActions.push_back(SendHead{ head_->status_, head_->headers_ });
  isHeadSent_ = true;
  ForwardBody(std::exchange(bufferedBody_, std::string()), aActions);
}

void CallMachine::CancelRunningAttempt(AttemptResult aResult,
                                       common::TimePoint aNow,
                                       CallActions& aActions)
{
  if (!isRunning_) {
    return;
  }
  aActions.push_back(CancelAttempt{ attempt_, endpoint_ });
  EndAttempt(aResult, aNow);
}

common::TimePoint CallMachine::CallDeadline() const
{
  return std::min(plan_.headDeadline_, plan_.endDeadline_.value_or(common::TimePoint::max()));
}

RunState CallMachine::RunStateOfLostAttempt() const
{
  if (!isRequestComplete_) {
    return RunState::kNotRun;
  }
  return head_ ? RunState::kRun : RunState::kUnknown;
}

bool CallMachine::IsWaitingForCaller() const
{
  return isRunning_ && head_.has_value() && remainingCredit_ == 0;
}

} // namespace dandelionstand::caller
