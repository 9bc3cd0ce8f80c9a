#include "dandelionstand/caller/CallerExchange.h"

#include "dandelionstand/caller/RetryAfter.h"
#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/quota/QuotaGate.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

namespace {

using common::ToMilliseconds;

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;

} // namespace

void CallerServer::Exchange::SendHead(std::uint32_t aStatus, const Headers& aHeaders)
{
  status_ = aStatus;
  connection_.SendHead(aStatus, aHeaders);
}

void CallerServer::Exchange::SendBody(const std::string& aData)
{
  server_.bodySent_.emit(aData.size());
  connection_.SendBody(aData);
}

void CallerServer::Exchange::Finish()
{
  SetResult({ kAnswered, common::Severity::kInfo, "request_answered", "", RunState::kRun });
  connection_.Unwatch();
  connection_.Finish();
}

void CallerServer::Exchange::Refuse(const Refusal& aRefusal)
{
  server_.context_.counters_.Add("caller_refusals_total{reason=\"" + aRefusal.reason_ + "\"}");
  Refusal refusal = aRefusal;
  if (refusal.runState_ == RunState::kNotRun && !quotaOrganisation_.Get().empty()) {
    server_.quotaGate_->ReturnToken(quotaOrganisation_, tokenExpiresAt_);
  }
  if (refusal.runState_ == RunState::kNotRun && refusal.status_ == kUnavailable &&
      !refusal.retryAfter_) {
    refusal.retryAfter_ = RetryAfter({ refusal.reason_ }, server_.random_);
  }
  status_ = refusal.status_;
  SetResult({ std::string(ToText(refusal.runState_)),
              common::Severity::kWarn,
              "request_refused",
              refusal.reason_,
              refusal.runState_ });
  connection_.Unwatch();
  connection_.Refuse(refusal);
}

void CallerServer::Exchange::Abort(const std::string& aReason)
{
  if (connection_.Discard()) {
    // The caller's earlier requests on the connection are not answered yet.
    Refuse({ kBadGateway, aReason, RunState::kUnknown, false });
    return;
  }
  SetResult({ kBrokenOff, common::Severity::kWarn, kBrokenOffEvent, aReason, RunState::kUnknown });
  connection_.Unwatch();
  connection_.Abort();
}

void CallerServer::Exchange::AbortIfOverdue(common::TimePoint aNow)
{
  if (sendTimeout_ && !connection_.IsNext()) {
    // Its caller cannot receive it before the answers of its own earlier requests.
    sendDeadline_ = aNow + kSendCheckInterval + *sendTimeout_;
    return;
  }
  if (aNow >= sendDeadline_) {
    isOverdue_ = true;
    sendDeadline_ = common::TimePoint::max();
    connection_.Abort();
  }
}

void CallerServer::Exchange::SetResult(Result aResult)
{
  result_ = std::move(aResult);
  const config::ConfigStatePtr config = server_.config_();
  call_.version_ = config ? config->version_.Get() : 0;
  const ActiveCall* call = server_.FindCall(callId_);
  if (call == nullptr) {
    return;
  }
  const config::Route& route = call->Route().route_;
  call_ = { config::ToText(route.trafficClass_),
            call->Route().version_.Get(),
            call->Route().name_.Get(),
            route.endpoints_.Get(),
            call->Route().organisation_.Get(),
            call->LastEndpoint().instance_.Get(),
            call->Plan().callerAge_,
            call->TargetTime(),
            call->AttemptsMade() };
  if (call->Plan().endDeadline_) {
    // The answer is ready; a slow caller gets as long again to receive the rest of it.
    sendTimeout_ = route.timeout_;
    sendDeadline_ = common::Now() + route.timeout_;
  }
}

void CallerServer::Exchange::OnEnded(bool aIsSent)
{
  if (result_.event_ == nullptr) {
    return; // The outcome of a keyed request does not depend on its caller.
  }
  const bool isFinished = result_.outcome_ != kBrokenOff && result_.outcome_ != kGone;
  if (isFinished && !aIsSent) {
    result_ = { kBrokenOff,
                common::Severity::kWarn,
                kBrokenOffEvent,
                isOverdue_ ? "not-received" : "caller-gone",
                result_.runState_ };
  }
  if (result_.outcome_ != kGone) {
    server_.CountOutcome(result_.outcome_);
  }
  Observe();
  Log();
}

void CallerServer::Exchange::Observe() const
{
  const common::Duration elapsed = common::Now() - receivedAt_;
  common::Counters& counters = server_.context_.counters_;
  counters.Observe("caller_request_seconds{kind=\"" + std::string(call_.kind_) + "\",outcome=\"" +
                     result_.outcome_ + "\"}",
                   elapsed);
  // With a single attempt, all time beyond the target's is latency added by the mesh.
  if (call_.attempts_ == 1 && call_.targetTime_.count() > 0) {
    counters.Observe("caller_added_seconds",
                     std::max(common::Duration(0), elapsed - call_.targetTime_));
  }
}

void CallerServer::Exchange::Log() const
{
  common::LogEvent(result_.severity_,
                   result_.event_,
                   { { "request", id_ },
                     { "client", clientHost_ },
                     { "status", status_ },
                     { "reason", result_.reason_ },
                     { "run", ToText(result_.runState_) },
                     { "ms", ToMilliseconds(common::Now() - receivedAt_) },
                     { "version", call_.version_ },
                     { "route", call_.route_ },
                     { "service", call_.service_ },
                     { "organisation", call_.organisation_ },
                     { "caller_age_ms", ToMilliseconds(call_.callerAge_) },
                     { "target_ms", ToMilliseconds(call_.targetTime_) },
                     { "attempts", call_.attempts_ },
                     { "endpoint", call_.endpoint_ } });
}

} // namespace dandelionstand::caller
