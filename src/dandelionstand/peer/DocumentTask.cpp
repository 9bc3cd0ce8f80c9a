#include "dandelionstand/peer/DocumentTask.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/config/Compression.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <utility>

namespace dandelionstand::peer {

namespace {

//! Short against the spread of the takeover ages in DocumentReadersSettings.
constexpr common::Duration kTick = std::chrono::milliseconds(50);

} // namespace

DocumentTask::DocumentTask(common::EventLoop& aLoop,
                           ControlSender& aSender,
                           Transport& aTransport,
                           DocumentReaders aReaders)
  : sender_(aSender)
  , transport_(aTransport)
  , readers_(std::move(aReaders))
{
  aTransport.Received().connect(sigc::mem_fun(*this, &DocumentTask::OnEnvelope));
  tick_ = aLoop.Every(kTick, [this] { Tick(); });
}

DocumentTask::~DocumentTask() = default;

void DocumentTask::SetDocument(common::Version aVersion, const std::string& aText)
{
  version_ = aVersion;
  documentText_ = aText;
  compressedText_.reset();
  exchange_.OnLocalVersion(aVersion);
  Send(readers_.OnVersionActive(aVersion));
}

void DocumentTask::OnStoreAnswer(common::Offset aNextOffset)
{
  Send(readers_.OnStoreAnswer(aNextOffset, common::Now()));
}

void DocumentTask::OnPeerVersion(const common::Address& aPeer, common::Version aVersion)
{
  exchange_.OnConfirmedVersion(aPeer, aVersion, common::Now());
  QueryPeerIfBehind();
}

void DocumentTask::OnEnvelope(const PeerRef& aFrom, const wire::Envelope& aEnvelope)
{
  const common::Address sender(aEnvelope.sender_address());
  if (aEnvelope.has_membership_update()) {
    exchange_.OnPeerVersion(
      sender, common::Version(aEnvelope.membership_update().config_version()), common::Now());
  } else if (aEnvelope.has_document()) {
    OnDocumentMessage(aFrom, aEnvelope.document());
  } else if (aEnvelope.has_document_confirmation()) {
    sender_.OnReceived(sender, aFrom, ControlKind::kSpreading, aEnvelope);
    sender_.ClearReplyPath();
    OnConfirmation(sender, aEnvelope.document_confirmation());
  }
}

void DocumentTask::OnDocumentMessage(const PeerRef& aFrom, const wire::DocumentMessage& aMessage)
{
  if (aMessage.is_query()) {
    Answer(aFrom, aMessage);
    return;
  }
  if (aMessage.compressed_data().empty()) {
    received_.emit(aMessage.data());
    return;
  }
  const std::optional<std::string> text = config::Decompress(aMessage.compressed_data());
  if (!text) {
    common::LogEvent(
      common::Severity::kError,
      "config_refused",
      { { "origin", "peer" },
        { "version", aMessage.version() },
        { "findings", "the compressed document is malformed or exceeds the maximum size" },
        { "bytes", aMessage.compressed_data().size() } });
    return;
  }
  received_.emit(*text);
}

void DocumentTask::OnConfirmation(const common::Address& aSender,
                                  const wire::DocumentConfirmation& aMessage)
{
  const common::TimePoint now = common::Now();
  const common::Version version(aMessage.version());
  // The sender has the document, so there is no reason to wait for it from elsewhere.
  exchange_.OnConfirmedVersion(aSender, version, now);
  Send(readers_.OnConfirmation({ version,
                                 now - std::chrono::milliseconds(aMessage.age_ms()),
                                 common::Offset(aMessage.next_offset()) },
                               aMessage.is_relay(),
                               now));
  QueryPeerIfBehind();
}

void DocumentTask::Answer(const PeerRef& aTo, const wire::DocumentMessage& aQuery)
{
  if (version_.Get() <= aQuery.version()) {
    return;
  }
  wire::Envelope reply;
  reply.mutable_document()->set_version(version_.Get());
  if (aQuery.accepts_compressed()) {
    if (!compressedText_) {
      compressedText_ = config::Compress(documentText_);
    }
    reply.mutable_document()->set_compressed_data(*compressedText_);
  } else {
    reply.mutable_document()->set_data(documentText_);
  }
  transport_.Send(aTo, reply);
}

void DocumentTask::Send(const DocumentReaders::Confirmations& aConfirmations)
{
  const common::TimePoint now = common::Now();
  for (const SendConfirmation& send : aConfirmations) {
    const DocumentConfirmation& confirmation = send.confirmation_;
    wire::Envelope envelope;
    wire::DocumentConfirmation& message = *envelope.mutable_document_confirmation();
    message.set_version(confirmation.version_.Get());
    message.set_next_offset(confirmation.nextOffset_.Get());
    message.set_age_ms(
      static_cast<std::uint32_t>(common::ToMilliseconds(now - confirmation.confirmedAt_)));
    message.set_is_relay(send.isRelay_);
    sender_.Send(send.destination_, ControlKind::kSpreading, envelope);
  }
}

void DocumentTask::Tick()
{
  const common::TimePoint now = common::Now();
  const bool isReader = readers_.IsReader(now);
  if (isReader != std::exchange(isReader_, isReader)) {
    common::LogEvent(
      common::Severity::kInfo,
      isReader ? "config_reading_started" : "config_reading_stopped",
      { { "cause", readers_.IsRankedReader() ? "rank" : "confirmation-age" },
        { "confirmation_age_ms", common::ToMilliseconds(readers_.ConfirmationAge(now)) } });
  }
  readerUpdated_.emit(isReader, readers_.NextOffset());
  QueryPeerIfBehind();
}

void DocumentTask::QueryPeerIfBehind()
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
  query.mutable_document()->set_accepts_compressed(true);
  sender_.Send(*peer, ControlKind::kSpreading, query);
}

} // namespace dandelionstand::peer
