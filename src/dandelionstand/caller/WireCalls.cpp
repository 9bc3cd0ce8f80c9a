#include "dandelionstand/caller/WireCalls.h"

#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/MessageCheck.h"
#include "dandelionstand/peer/generated/call.pb.h"

#include <xxhash.h>

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! Bodies up to this size are sent with their requests; a round trip would delay them more than
//! they delay other messages.
constexpr std::size_t kMaxImmediateBodyBytes = 16UL * 1024;

void AddHeader(peer::wire::CallStart& aStart, const std::string& aName, const std::string& aValue)
{
  peer::wire::Header& header = *aStart.add_headers();
  header.set_name(aName);
  header.set_value(aValue);
}

RunState ToRunState(peer::wire::RunState aState)
{
  switch (aState) {
    case peer::wire::NOT_RUN:
      return RunState::kNotRun;
    case peer::wire::RUN:
      return RunState::kRun;
    default:
      return RunState::kUnknown;
  }
}

ReportedLoad ToLoad(const peer::wire::Load& aLoad)
{
  return {
    aLoad.running(), aLoad.queued(), aLoad.slots(), std::chrono::microseconds(aLoad.work_time_us())
  };
}

std::uint32_t ToWireMilliseconds(common::Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(common::ToMilliseconds(aDuration), peer::kMaxTimeLeftMs));
}

} // namespace

bool IsBodyDeferred(const CallerRequest& aRequest, const SendAttempt& aAttempt)
{
  return aRequest.body_.size() > kMaxImmediateBodyBytes &&
         aAttempt.endpoint_.acceptsDeferredBodies_;
}

void FillCallStart(const CallRoute& aRoute,
                   const CallerRequest& aRequest,
                   const SendAttempt& aAttempt,
                   peer::wire::CallStart& aStart)
{
  const config::Route& route = aRoute.route_;
  aStart.set_attempt(aAttempt.attempt_);
  aStart.set_target_incarnation(aAttempt.endpoint_.incarnation_.Get());
  aStart.set_service(route.endpoints_.Get());
  aStart.set_route(aRoute.name_.Get());
  aStart.set_config_version(aRoute.version_.Get());
  aStart.set_idempotency(static_cast<peer::wire::Idempotency>(route.idempotency_));
  aStart.set_idempotency_key(aRequest.idempotencyKey_);
  aStart.set_traffic_class(static_cast<peer::wire::TrafficClass>(route.trafficClass_));
  aStart.set_time_left_ms(ToWireMilliseconds(aAttempt.remainingTime_));
  aStart.set_depth(aRequest.depth_ + 1);
  aStart.set_caller_request_id(aRequest.id_);
  aStart.set_method(aRequest.method_);
  aStart.set_path(aRequest.target_);
  if (IsBodyDeferred(aRequest, aAttempt)) {
    aStart.set_deferred_body_bytes(aRequest.body_.size());
    aStart.set_body_checksum(XXH3_64bits(aRequest.body_.data(), aRequest.body_.size()));
  } else {
    aStart.set_body(aRequest.body_);
  }
  aStart.set_rank(route.priority_);
  aStart.set_organisation(aRoute.organisation_.Get());
  aStart.set_key_digest(aRoute.keyDigest_);
  aStart.set_has_other_endpoints(aAttempt.hasOtherEndpoints_);
  if (aAttempt.timeToObjective_) {
    aStart.set_has_objective(true);
    aStart.set_objective_left_ms(ToWireMilliseconds(*aAttempt.timeToObjective_));
  }
  aStart.set_credit_bytes(aAttempt.creditBytes_);
  for (const Header& header : aRequest.headers_) {
    AddHeader(aStart, header.name_, header.value_);
  }
  if (aAttempt.continuation_) {
    AddHeader(aStart, "Range", "bytes=" + std::to_string(aAttempt.continuation_->offset_) + "-");
    AddHeader(aStart, "If-Range", aAttempt.continuation_->etag_);
  }
}

AttemptHead ToAttemptHead(const peer::wire::AnswerHead& aHead)
{
  AttemptHead head;
  head.status_ = aHead.status();
  for (const peer::wire::Header& header : aHead.headers()) {
    head.headers_.push_back({ header.name(), header.value() });
  }
  return head;
}

AttemptBody ToAttemptBody(const peer::wire::AnswerBody& aBody)
{
  return { aBody.sequence(), aBody.checksum(), aBody.data() };
}

AttemptEnd ToAttemptEnd(const peer::wire::AnswerEnd& aEnd)
{
  return { aEnd.length(),
           aEnd.checksum(),
           ToLoad(aEnd.load()),
           std::chrono::microseconds(aEnd.target_time_us()) };
}

AttemptFailed ToAttemptFailed(const peer::wire::AnswerFailed& aFailed)
{
  return {
    aFailed.reason(), ToRunState(aFailed.run_state()), aFailed.deep(), ToLoad(aFailed.load())
  };
}

} // namespace dandelionstand::caller
