#include "dandelionstand/caller/ActiveCall.h"

#include "dandelionstand/caller/ServicePolicies.h"
#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace dandelionstand::caller {

namespace {

//! Small, so that other messages are sent between the pieces of a large body.
constexpr std::size_t kMaxBodyPieceBytes = 16UL * 1024;

peer::PeerRef PeerRefOf(const Endpoint& aEndpoint)
{
  return { aEndpoint.address_, "" };
}

} // namespace

AnswerSink::~AnswerSink() = default;

ActiveCall::ActiveCall(const CallContext& aContext,
                       common::RequestId aId,
                       CallRoute aRoute,
                       CallerRequest aRequest,
                       const CallPlan& aPlan,
                       ServicePolicy& aPolicy,
                       AnswerSink& aSink,
                       DoneHandler aDoneHandler)
  : context_(aContext)
  , id_(aId)
  , route_(std::move(aRoute))
  , request_(std::move(aRequest))
  , machine_(aPlan, aPolicy.picker_, aPolicy.budget_)
  , sink_(aSink)
  , doneHandler_(std::move(aDoneHandler))
{
}

ActiveCall::~ActiveCall() = default;

void ActiveCall::Begin()
{
  RunActions(machine_.Begin(common::Now()));
}

void ActiveCall::OnAnswer(const peer::wire::Envelope& aEnvelope)
{
  const common::TimePoint now = common::Now();
  const std::uint64_t droppedBefore = machine_.DroppedMessages();
  CallActions actions;
  if (aEnvelope.has_answer_head()) {
    const auto& head = aEnvelope.answer_head();
    actions = machine_.OnHead(head.attempt(), ToAttemptHead(head), now);
  } else if (aEnvelope.has_answer_body()) {
    const auto& body = aEnvelope.answer_body();
    actions = machine_.OnBody(body.attempt(), ToAttemptBody(body), now);
  } else if (aEnvelope.has_answer_end()) {
    const auto& end = aEnvelope.answer_end();
    RememberNotice(end.attempt(), end.load());
    actions = machine_.OnEnd(end.attempt(), ToAttemptEnd(end), now);
  } else if (aEnvelope.has_answer_failed()) {
    const auto& failed = aEnvelope.answer_failed();
    RememberNotice(failed.attempt(), failed.load());
    actions = machine_.OnFailed(failed.attempt(), ToAttemptFailed(failed), now);
  } else if (aEnvelope.has_call_body_request()) {
    const auto& bodyRequest = aEnvelope.call_body_request();
    if (bodyRequest.attempt() == machine_.RunningAttempt()) {
      SendRequestBody(bodyRequest.bytes());
    }
  }
  context_.counters_.Add("caller_answers_dropped_total",
                         machine_.DroppedMessages() - droppedBefore);
  RunActions(std::move(actions));
}

void ActiveCall::RememberNotice(std::uint32_t aAttempt, const peer::wire::Load& aLoad)
{
  if (aAttempt == machine_.RunningAttempt()) {
    context_.notices_.OnReport(machine_.CurrentEndpoint().instance_, aLoad, common::Now());
  }
}

void ActiveCall::OnLinkLost(const common::Address& aAddress)
{
  if (machine_.RunningAttempt() != 0 && machine_.CurrentEndpoint().address_ == aAddress) {
    RunActions(machine_.OnLinkLost(common::Now()));
  }
}

void ActiveCall::OnCallerDisconnected()
{
  RunActions(machine_.OnCallerDisconnected(common::Now()));
}

void ActiveCall::OnBodyConsumed(std::uint32_t aBytes)
{
  RunActions(machine_.OnBodyConsumed(aBytes, common::Now()));
}

void ActiveCall::RunActions(CallActions aActions)
{
  for (CallAction& action : aActions) {
    Perform(action);
  }
  if (machine_.IsDone()) {
    timer_.reset();
    const DoneHandler handler = std::exchange(doneHandler_, nullptr);
    if (handler) {
      handler(id_);
    }
    return;
  }
  ArmTimer();
}

void ActiveCall::Perform(CallAction& aAction)
{
  if (const auto* attempt = std::get_if<SendAttempt>(&aAction)) {
    Send(*attempt);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&aAction)) {
    Cancel(*cancel);
  } else if (const auto* grant = std::get_if<GrantCredit>(&aAction)) {
    Grant(*grant);
  } else if (const auto* head = std::get_if<SendHead>(&aAction)) {
    sink_.SendHead(head->status_, head->headers_);
  } else if (const auto* body = std::get_if<SendBody>(&aAction)) {
    sink_.SendBody(body->data_);
  } else if (std::holds_alternative<FinishAnswer>(aAction)) {
    sink_.Finish();
  } else if (const auto* refusal = std::get_if<RefuseCall>(&aAction)) {
    const bool isDeep = refusal->deep_ || request_.depth_ > 0;
    sink_.Refuse({ refusal->status_, refusal->reason_, refusal->runState_, isDeep });
  } else if (const auto* abort = std::get_if<AbortAnswer>(&aAction)) {
    sink_.Abort(abort->reason_);
  }
}

void ActiveCall::Send(const SendAttempt& aAttempt)
{
  const std::string_view fault =
    context_.checkPermission_ ? context_.checkPermission_(route_) : std::string_view();
  if (!fault.empty()) {
    context_.counters_.Add("permission_unconfirmed_total{place=\"attempt\"}");
    for (CallAction& action : machine_.OnPermissionLost(std::string(fault), common::Now())) {
      Perform(action);
    }
    return;
  }
  context_.counters_.Add("caller_attempts_total");
  if (aAttempt.attempt_ > 1) {
    common::LogEvent(
      common::Severity::kInfo,
      "call_retried",
      { { "request", request_.id_ },
        { "attempt", aAttempt.attempt_ },
        { "cause", aAttempt.retryCause_ },
        { "time_left_ms", common::ToMilliseconds(aAttempt.remainingTime_) },
        { "version", route_.version_.Get() },
        { "peer", aAttempt.endpoint_.instance_.Get() },
        { "from_byte", aAttempt.continuation_ ? aAttempt.continuation_->offset_ : 0 } });
  }
  peer::wire::Envelope envelope;
  peer::wire::CallStart& start = *envelope.mutable_call_start();
  start.set_request_id(id_.Get());
  start.set_sent_at_us(static_cast<std::uint64_t>(common::Now().time_since_epoch().count()));
  FillCallStart(route_, request_, aAttempt, start);
  if (const auto* notice = context_.notices_.Find(aAttempt.endpoint_.instance_)) {
    *start.mutable_remembered_notice() = *notice;
  }
  sentBodyBytes_ = 0;
  if (IsBodyDeferred(request_, aAttempt)) {
    machine_.MarkRequestIncomplete();
  }
  if (!context_.transport_.Send(PeerRefOf(aAttempt.endpoint_), envelope)) {
    for (CallAction& action : machine_.OnSendFailed(aAttempt.attempt_, common::Now())) {
      Perform(action);
    }
  }
}

void ActiveCall::SendRequestBody(std::size_t aBytes)
{
  const std::string_view body = request_.body_;
  const std::size_t end = std::min(body.size(), sentBodyBytes_ + aBytes);
  while (sentBodyBytes_ < end) {
    const std::string_view piece =
      body.substr(sentBodyBytes_, std::min(kMaxBodyPieceBytes, end - sentBodyBytes_));
    if (sentBodyBytes_ + piece.size() == body.size()) {
      machine_.MarkRequestComplete();
    }
    peer::wire::Envelope envelope;
    peer::wire::CallBody& message = *envelope.mutable_call_body();
    message.set_request_id(id_.Get());
    message.set_attempt(machine_.RunningAttempt());
    message.set_offset(sentBodyBytes_);
    message.set_data(piece.data(), piece.size());
    sentBodyBytes_ += piece.size();
    // A piece that is dropped here leaves a gap, which the endpoint's daemon refuses as not run.
    context_.transport_.Send(PeerRefOf(machine_.CurrentEndpoint()), envelope);
  }
}

void ActiveCall::Cancel(const CancelAttempt& aAttempt)
{
  peer::wire::Envelope envelope;
  envelope.mutable_call_cancel()->set_request_id(id_.Get());
  envelope.mutable_call_cancel()->set_attempt(aAttempt.attempt_);
  context_.transport_.Send(PeerRefOf(aAttempt.endpoint_), envelope);
}

void ActiveCall::Grant(const GrantCredit& aGrant)
{
  peer::wire::Envelope envelope;
  envelope.mutable_call_credit()->set_request_id(id_.Get());
  envelope.mutable_call_credit()->set_attempt(aGrant.attempt_);
  envelope.mutable_call_credit()->set_bytes(aGrant.bytes_);
  context_.transport_.Send(PeerRefOf(aGrant.endpoint_), envelope);
}

void ActiveCall::ArmTimer()
{
  const common::TimePoint deadline = machine_.NextDeadline();
  const bool isArmedInTime = timer_ && timerDeadline_ <= deadline;
  if (deadline == common::TimePoint::max() || isArmedInTime) {
    return;
  }
  timerDeadline_ = deadline;
  timer_ = context_.loop_.After(deadline - common::Now(), [this] {
    timer_.reset();
    RunActions(machine_.OnTimer(common::Now()));
  });
}

} // namespace dandelionstand::caller
