#include "dandelionstand/caller/CallMachine.h"

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

constexpr std::uint32_t kMostContinuations = 32;
//! Bytes that a target side may send beyond those that are held back.
constexpr std::uint64_t kHeldMargin = 64UL * 1024;

//! The target side gives up this much earlier, so that its refusal still arrives.
constexpr common::Duration kAnswerMargin = std::chrono::milliseconds(30);
constexpr int kMarginShare = 10;

constexpr const char* kTimedOut = "timeout";
constexpr const char* kTargetTimedOut = "target-timeout";
constexpr const char* kTargetShed = "target-shed";
constexpr const char* kBrokenAnswer = "broken-answer";

//! Refusals that come without load: the endpoint is on its way out or has been replaced.
bool IsFreeToRetry(const std::string& aReason)
{
  return aReason == "draining" || aReason == "target-not-ready" || aReason == "wrong-incarnation" ||
         aReason == "not-sent";
}

//! Whether the endpoint itself got the request, as far as the failure tells.
bool HasReachedEndpoint(const AttemptFailed& aFailed)
{
  return aFailed.runState_ != RunState::kNotRun || aFailed.reason_ == kTargetShed;
}

AttemptResult ResultOf(const AttemptFailed& aFailed)
{
  if (aFailed.runState_ != RunState::kNotRun) {
    return AttemptResult::kFailed;
  }
  return aFailed.reason_ == kTargetShed ? AttemptResult::kShed : AttemptResult::kRefused;
}

common::Duration WithoutMargin(common::Duration aTimeLeft)
{
  return aTimeLeft - std::min(kAnswerMargin, aTimeLeft / kMarginShare);
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
  budget_.AddCall(aNow);
  lastProgress_ = aNow;
  if (aNow >= CallDeadline()) {
    GiveUp({ kTimedOut, RunState::kNotRun }, actions);
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
  lastProgress_ = aNow;
  picker_.Progressed(endpoint_.instance_, aNow);
  if (headSent_ && !progress_.Accepts(aHead, skip_)) {
    CancelRunning(AttemptResult::kDropped, aNow, actions);
    GiveUp({ "representation-changed", RunState::kRun }, actions);
    return actions;
  }
  head_ = std::move(aHead);
  check_.emplace();
  return actions;
}

CallActions CallMachine::OnBody(std::uint32_t aAttempt, AttemptBody aBody, common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  lastProgress_ = aNow;
  picker_.Progressed(endpoint_.instance_, aNow);
  const auto frame = head_ ? check_->Add(aBody) : BodyCheck::Frame::kBroken;
  if (frame == BodyCheck::Frame::kDuplicate) {
    ++dropped_;
    return actions;
  }
  if (frame == BodyCheck::Frame::kBroken) {
    CancelRunning(AttemptResult::kFailed, aNow, actions);
    AttemptBroke({ kBrokenAnswer, head_ ? RunState::kRun : RunState::kUnknown }, aNow, actions);
    return actions;
  }
  credit_ -= std::min<std::uint64_t>(credit_, aBody.data_.size());
  const std::uint64_t skipped = std::min<std::uint64_t>(skip_, aBody.data_.size());
  if (skipped > 0) {
    skip_ -= skipped;
    credit_ += skipped;
    aBody.data_.erase(0, skipped);
    actions.push_back(GrantCredit{ attempt_, endpoint_, static_cast<std::uint32_t>(skipped) });
  }
  PassOn(std::move(aBody.data_), actions);
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
  picker_.Reported(endpoint_.instance_, plan_.route_, aEnd.load_, aNow);
  if (!head_ || !check_->MatchesEnd(aEnd) || skip_ > 0) {
    EndAttempt(AttemptResult::kFailed, aNow);
    AttemptBroke({ kBrokenAnswer, head_ ? RunState::kRun : RunState::kUnknown }, aNow, actions);
    return actions;
  }
  const bool isError = head_->status_ >= kFirstServerError;
  EndAttempt(isError ? AttemptResult::kErrored : AttemptResult::kAnswered, aNow);
  if (!isError) {
    picker_.AnswerSize(plan_.route_, aEnd.length_);
  }
  const AttemptFailed shed{ "target-unavailable", RunState::kRun };
  if (!headSent_ && IsRetriedStatus(*head_) && MayRetry(shed, aNow)) {
    mayHaveRun_ = RunState::kRun;
    StartAttempt(shed.reason_, aNow, actions);
    return actions;
  }
  targetTime_ = aEnd.targetTime_;
  FlushHeld(actions);
  actions.push_back(FinishAnswer{});
  done_ = true;
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
  picker_.Reported(endpoint_.instance_, plan_.route_, aFailed.load_, aNow);
  // A target side that answers is alive; only what broke after the start counts against it.
  EndAttempt(ResultOf(aFailed), aNow);
  AttemptBroke(aFailed, aNow, actions);
  return actions;
}

CallActions CallMachine::OnNotSent(std::uint32_t aAttempt, common::TimePoint aNow)
{
  CallActions actions;
  if (!IsCurrent(aAttempt)) {
    return actions;
  }
  EndAttempt(AttemptResult::kFailed, aNow);
  AttemptBroke({ "not-sent", RunState::kNotRun }, aNow, actions);
  return actions;
}

CallActions CallMachine::OnLinkLost(common::TimePoint aNow)
{
  CallActions actions;
  if (!isRunning_) {
    return actions;
  }
  EndAttempt(AttemptResult::kFailed, aNow);
  AttemptBroke({ "link-lost", head_ ? RunState::kRun : RunState::kUnknown }, aNow, actions);
  return actions;
}

CallActions CallMachine::OnCallerGone(common::TimePoint aNow)
{
  CallActions actions;
  CancelRunning(AttemptResult::kDropped, aNow, actions);
  done_ = true;
  return actions;
}

CallActions CallMachine::OnTaken(std::uint32_t aBytes, common::TimePoint aNow)
{
  CallActions actions;
  untaken_ -= std::min<std::uint64_t>(untaken_, aBytes);
  if (!isRunning_ || aBytes == 0) {
    return actions;
  }
  if (credit_ == 0) {
    lastProgress_ = aNow;
  }
  // Frames ahead of the credit of an earlier attempt do not widen the window.
  const std::uint64_t room = Window() - std::min(Window(), untaken_);
  if (room > credit_) {
    const auto granted = static_cast<std::uint32_t>(room - credit_);
    credit_ = room;
    actions.push_back(GrantCredit{ attempt_, endpoint_, granted });
  }
  return actions;
}

CallActions CallMachine::OnTime(common::TimePoint aNow)
{
  CallActions actions;
  if (done_ || aNow < NextDeadline()) {
    return actions;
  }
  const AttemptFailed late{ kTimedOut, head_ ? RunState::kRun : RunState::kUnknown };
  CancelRunning(AttemptResult::kFailed, aNow, actions);
  AttemptBroke(late, aNow, actions);
  return actions;
}

common::TimePoint CallMachine::NextDeadline() const
{
  if (done_) {
    return common::TimePoint::max();
  }
  if (!headSent_) {
    return std::min(attemptDeadline_, CallDeadline());
  }
  const common::TimePoint end = plan_.endDeadline_.value_or(common::TimePoint::max());
  return IsWaitingForCaller() ? end : std::min(end, lastProgress_ + plan_.idleLimit_);
}

bool CallMachine::IsCurrent(std::uint32_t aAttempt)
{
  if (isRunning_ && aAttempt == attempt_) {
    return true;
  }
  ++dropped_;
  return false;
}

void CallMachine::StartAttempt(const std::string& aCause,
                               common::TimePoint aNow,
                               CallActions& aActions)
{
  head_.reset();
  check_.reset();
  held_.clear();
  skip_ = 0;
  auto picked = picker_.Pick(tried_, plan_.route_, aNow);
  if (!picked && headSent_) {
    // A continuation may go back to an endpoint that broke off before.
    tried_.clear();
    picked = picker_.Pick(tried_, plan_.route_, aNow);
  }
  if (!picked) {
    GiveUp({ "no-endpoint", headSent_ ? RunState::kRun : RunState::kNotRun }, aActions);
    return;
  }
  endpoint_ = *picked;
  tried_.push_back(endpoint_.instance_);
  ++attempt_;
  isRunning_ = true;
  // What an earlier attempt sent and the caller has not taken still fills the window.
  credit_ = Window() - std::min(Window(), untaken_);
  picker_.Started(endpoint_.instance_, aNow);

  SendAttempt send{ attempt_, endpoint_, aCause };
  send.creditBytes_ = static_cast<std::uint32_t>(credit_);
  if (headSent_) {
    send.continuation_ = progress_.NextContinuation();
    lastProgress_ = aNow;
    send.timeLeft_ = WithoutMargin(NextDeadline() - aNow);
  } else {
    ++firstTries_;
    const common::Duration left = CallDeadline() - aNow;
    const bool mayHaveNext = plan_.policy_.keepsTimeForRetry_ &&
                             plan_.idempotency_ == Idempotency::kIdempotent &&
                             firstTries_ < plan_.attempts_;
    // Half of the time is kept for an attempt elsewhere.
    const common::Duration forAttempt = mayHaveNext ? left / 2 : left;
    attemptDeadline_ = aNow + forAttempt;
    send.timeLeft_ = WithoutMargin(forAttempt);
    send.hasOther_ = firstTries_ < Tries() && picker_.HasOther(tried_);
    if (plan_.objective_) {
      send.objectiveLeft_ = *plan_.objective_ - aNow;
    }
  }
  aActions.push_back(std::move(send));
}

void CallMachine::EndAttempt(AttemptResult aResult, common::TimePoint aNow)
{
  isRunning_ = false;
  picker_.Ended(endpoint_.instance_, aResult, aNow);
}

void CallMachine::AttemptBroke(const AttemptFailed& aFailed,
                               common::TimePoint aNow,
                               CallActions& aActions)
{
  if (headSent_) {
    ContinueDownload(aFailed, aNow, aActions);
    return;
  }
  if (aFailed.runState_ != RunState::kNotRun) {
    mayHaveRun_ = aFailed.runState_;
  }
  if (MayRetry(aFailed, aNow)) {
    StartAttempt(aFailed.reason_, aNow, aActions);
    return;
  }
  GiveUp(aFailed, aActions);
}

bool CallMachine::MayRetry(const AttemptFailed& aFailed, common::TimePoint aNow)
{
  const bool isSafe =
    aFailed.runState_ == RunState::kNotRun || plan_.idempotency_ == Idempotency::kIdempotent;
  const bool hasReached = HasReachedEndpoint(aFailed);
  reached_ += hasReached ? 1 : 0;
  if (!isSafe || aFailed.deep_ || firstTries_ >= Tries() || reached_ >= plan_.attempts_ ||
      !picker_.HasOther(tried_)) {
    return false;
  }
  // An endpoint that cannot answer in time would refuse, and what is known would be told later.
  const common::Duration least =
    std::max(plan_.policy_.leastTimeForRetry_, picker_.LeastTime(tried_, plan_.route_, aNow));
  if (least >= CallDeadline() - aNow) {
    return false;
  }
  const bool isFree =
    IsFreeToRetry(aFailed.reason_) || (!hasReached && !plan_.policy_.paysForRefusals_);
  // A request that ran has made its calls, and makes them again when it runs once more.
  const std::uint32_t cost = aFailed.runState_ == RunState::kNotRun ? 1 : plan_.policy_.rerunCost_;
  return isFree || budget_.Spend(aNow, cost);
}

std::uint32_t CallMachine::Tries() const
{
  return std::max(plan_.tries_, plan_.attempts_);
}

std::uint64_t CallMachine::Window() const
{
  return std::max<std::uint64_t>(kWindowBytes, plan_.policy_.heldBytes_ + kHeldMargin);
}

void CallMachine::GiveUp(const AttemptFailed& aFailed, CallActions& aActions)
{
  done_ = true;
  if (headSent_) {
    aActions.push_back(AbortAnswer{ aFailed.reason_ });
    return;
  }
  // A refusal of the last attempt says nothing about an earlier one that may have run.
  const RunState runState = mayHaveRun_.value_or(aFailed.runState_);
  std::uint32_t status = kBadGateway;
  if (runState == RunState::kNotRun) {
    status = kServiceUnavailable;
  } else if (aFailed.reason_ == kTimedOut || aFailed.reason_ == kTargetTimedOut) {
    status = kGatewayTimeout;
  }
  aActions.push_back(RefuseCall{ status, aFailed.reason_, runState, aFailed.deep_ });
}

void CallMachine::ContinueDownload(const AttemptFailed& aFailed,
                                   common::TimePoint aNow,
                                   CallActions& aActions)
{
  if (progress_.IsComplete()) {
    aActions.push_back(FinishAnswer{});
    done_ = true;
    return;
  }
  const bool isInTime = aNow < plan_.endDeadline_.value_or(common::TimePoint::max());
  if (!progress_.CanContinue() || !isInTime || continuations_ >= kMostContinuations) {
    GiveUp(aFailed, aActions);
    return;
  }
  ++continuations_;
  StartAttempt(aFailed.reason_, aNow, aActions);
}

bool CallMachine::IsRetriedStatus(const AttemptHead& aHead) const
{
  // A target that ran out of time would do so elsewhere.
  const bool isFailure = plan_.policy_.retriesServerErrors_
                           ? aHead.status_ >= kFirstServerError && aHead.status_ != kGatewayTimeout
                           : aHead.status_ == kServiceUnavailable;
  return plan_.idempotency_ == Idempotency::kIdempotent && isFailure &&
         FindHeader(aHead.headers_, "Dandelion-Deep").empty();
}

void CallMachine::PassOn(std::string aData, CallActions& aActions)
{
  if (aData.empty()) {
    return;
  }
  if (headSent_) {
    progress_.AddForwarded(aData.size());
    untaken_ += aData.size();
    aActions.push_back(SendBody{ std::move(aData) });
    return;
  }
  held_ += aData;
  if (held_.size() > plan_.policy_.heldBytes_) {
    FlushHeld(aActions);
  }
}

void CallMachine::FlushHeld(CallActions& aActions)
{
  if (headSent_) {
    return;
  }
  progress_.Begin(*head_, plan_.mayContinue_);
  aActions.push_back(SendHead{ head_->status_, head_->headers_ });
  headSent_ = true;
  PassOn(std::exchange(held_, std::string()), aActions);
}

void CallMachine::CancelRunning(AttemptResult aResult,
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

bool CallMachine::IsWaitingForCaller() const
{
  return isRunning_ && head_.has_value() && credit_ == 0;
}

} // namespace dandelionstand::caller
