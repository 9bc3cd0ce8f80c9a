#include "dandelionstand/peer/DocumentTask.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>

namespace dandelionstand::peer {

namespace {

constexpr common::Duration kTick = std::chrono::milliseconds(100);

} // namespace

DocumentTask::DocumentTask(common::EventLoop& aLoop, ControlSender& aSender, Transport& aTransport)
  : sender_(aSender)
  , transport_(aTransport)
{
  aTransport.Received().connect(sigc::mem_fun(*this, &DocumentTask::OnEnvelope));
  tick_ = aLoop.Every(kTick, [this] { Tick(); });
}

DocumentTask::~DocumentTask() = default;

void DocumentTask::SetDocument(common::Version aVersion, const std::string& aText)
{
  version_ = aVersion;
  documentText_ = aText;
  exchange_.OnLocalVersion(aVersion);
}

void DocumentTask::OnEnvelope(const PeerRef& aFrom, const wire::Envelope& aEnvelope)
{
  const common::Address sender(aEnvelope.sender_address());
  if (aEnvelope.has_membership_update()) {
    exchange_.OnPeerVersion(
      sender, common::Version(aEnvelope.membership_update().config_version()), common::Now());
    return;
  }
  if (!aEnvelope.has_document()) {
    return;
  }
  const wire::DocumentMessage& message = aEnvelope.document();
  if (!message.is_query()) {
    received_.emit(message.data());
    return;
  }
  if (version_.Get() > message.version()) {
    wire::Envelope reply;
    reply.mutable_document()->set_version(version_.Get());
    reply.mutable_document()->set_data(documentText_);
    transport_.Send(aFrom, reply);
  }
}

void DocumentTask::Tick()
{
  const std::optional<common::Address> peer = exchange_.Tick(common::Now());
  if (!peer) {
    return;
  }
  common::LogEvent(common::Severity::kInfo,
                   "config_asked",
                   { { "peer", peer->Get() }, { "version", version_.Get() } });
  wire::Envelope query;
  query.mutable_document()->set_is_query(true);
  query.mutable_document()->set_version(version_.Get());
  sender_.Send(*peer, ControlKind::kSpreading, query);
}

} // namespace dandelionstand::peer
