#include "dandelionstand/target/TargetForwarder.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/target/ForwardedCall.h"

#include <sigc++/functors/mem_fun.h>

namespace dandelionstand::target {

TargetForwarder::TargetForwarder(common::EventLoop& aLoop,
                                 common::Counters& aCounters,
                                 peer::Transport& aTransport,
                                 common::Incarnation aIncarnation)
  : loop_(aLoop)
  , counters_(aCounters)
  , transport_(aTransport)
  , incarnation_(aIncarnation)
{
  transport_.Received().connect(sigc::mem_fun(*this, &TargetForwarder::OnEnvelope));
}

TargetForwarder::~TargetForwarder() = default;

void TargetForwarder::SetTarget(const common::ServiceName& aService,
                                const common::Address& aAddress)
{
  service_ = aService;
  address_ = aAddress;
}

void TargetForwarder::OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_call_start()) {
    OnCallStart(aFrom, aEnvelope.call_start());
  }
}

void TargetForwarder::OnCallStart(const peer::PeerRef& aFrom, const peer::wire::CallStart& aStart)
{
  common::HostAndPort target;
  if (aStart.target_incarnation() != incarnation_.Get()) {
    Refuse(aFrom, aStart, "earlier-incarnation");
  } else if (isDraining_) {
    Refuse(aFrom, aStart, "draining");
  } else if (aStart.service() != service_.Get() || !common::ParseAddress(address_.Get(), target)) {
    Refuse(aFrom, aStart, "no-target");
  } else {
    counters_.Add("target_calls_forwarded_total");
    auto call = std::make_unique<ForwardedCall>(
      loop_, transport_, aFrom, aStart, target, [this](const ForwardedCall* aCall) {
        calls_.erase(aCall);
      });
    calls_[call.get()] = std::move(call);
  }
}

void TargetForwarder::Refuse(const peer::PeerRef& aFrom,
                             const peer::wire::CallStart& aStart,
                             const char* aReason)
{
  counters_.Add("target_calls_refused_total");
  peer::wire::Envelope envelope;
  peer::wire::AnswerFailed& failed = *envelope.mutable_answer_failed();
  failed.set_request_id(aStart.request_id());
  failed.set_attempt(aStart.attempt());
  failed.set_reason(aReason);
  failed.set_run_state(peer::wire::NOT_RUN);
  transport_.Send(aFrom, envelope);
}

} // namespace dandelionstand::target
