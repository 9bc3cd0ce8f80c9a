#include "dandelionstand/peer/ZmqTransport.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/MessageGuard.h"
#include "dandelionstand/peer/MessageCheck.h"
#include "dandelionstand/peer/ZmqLink.h"
#include "dandelionstand/peer/ZmqSocket.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <zmq.h>

#include <stdexcept>
#include <utility>
#include <vector>

namespace dandelionstand::peer {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr int kMaxReadsPerTurn = 256;

wire::Envelope MakeHeartbeat(bool aIsReply)
{
  wire::Envelope envelope;
  envelope.mutable_heartbeat()->set_is_reply(aIsReply);
  return envelope;
}

//! True for messages that belong to a call for which a caller is waiting.
bool IsCall(const wire::Envelope& aEnvelope)
{
  return aEnvelope.has_call_start() || aEnvelope.has_call_credit();
}

//! Receives one message part; false if none is available.
bool ReceivePart(void* aSocket, std::string& aPart, bool& aHasMore)
{
  zmq_msg_t message;
  zmq_msg_init(&message);
  const bool received = zmq_msg_recv(&message, aSocket, ZMQ_DONTWAIT) >= 0;
  if (received) {
    aPart.assign(static_cast<const char*>(zmq_msg_data(&message)), zmq_msg_size(&message));
    aHasMore = zmq_msg_more(&message) != 0;
  }
  zmq_msg_close(&message);
  return received;
}

} // namespace

ZmqTransport::ZmqTransport(common::EventLoop& aLoop,
                           common::Counters& aCounters,
                           ZmqTransportSettings aSettings)
  : loop_(aLoop)
  , counters_(aCounters)
  , settings_(std::move(aSettings))
  , context_(zmq_ctx_new())
  , router_(OpenSocket(context_, ZMQ_ROUTER))
{
  if (router_ == nullptr) {
    const std::string reason = zmq_strerror(zmq_errno());
    zmq_ctx_term(context_);
    throw std::runtime_error("cannot open a socket: " + reason);
  }
  const int mandatory = 1;
  zmq_setsockopt(router_, ZMQ_ROUTER_MANDATORY, &mandatory, sizeof(mandatory));
  const std::string endpoint = "tcp://" + settings_.listen_.Get();
  if (zmq_bind(router_, endpoint.c_str()) != 0) {
    const std::string reason = zmq_strerror(zmq_errno());
    zmq_close(router_);
    zmq_ctx_term(context_);
    throw std::runtime_error("cannot listen at " + endpoint + ": " + reason);
  }
  routerWatch_ = loop_.OnReadable(SocketDescriptor(router_), [this] { ReadRouter(); });
  checkTimer_ = loop_.Every(settings_.heartbeatInterval_, [this] { CheckLinks(); });
}

ZmqTransport::~ZmqTransport()
{
  checkTimer_.reset();
  routerWatch_.reset();
  routerWakeup_.reset();
  links_.clear();
  zmq_close(router_);
  zmq_ctx_term(context_);
}

void ZmqTransport::SetCommonFields(wire::Envelope& aEnvelope) const
{
  aEnvelope.set_protocol_version(kProtocolVersion);
  aEnvelope.set_sender_incarnation(settings_.incarnation_.Get());
  if (aEnvelope.has_heartbeat()) {
    return;
  }
  aEnvelope.set_sender(settings_.instance_.Get());
  aEnvelope.set_sender_address(settings_.advertise_.Get());
}

bool ZmqTransport::Send(const PeerRef& aTo, wire::Envelope& aEnvelope)
{
  SetCommonFields(aEnvelope);
  counters_.Add("peer_messages_sent_total");
  const std::size_t bytes = aEnvelope.ByteSizeLong();
  counters_.Add("peer_bytes_sent_total", bytes);
  bool sent = false;
  if (!aTo.returnPath_.empty()) {
    sent = SendOnRouter(aTo.returnPath_, aEnvelope);
  } else {
    if (ZmqLink* link = GetOrCreateLink(aTo.address_)) {
      link->MarkUsed(common::Now(), IsCall(aEnvelope));
      sent = link->Send(aEnvelope.SerializeAsString());
    }
  }
  if (!sent) {
    counters_.Add("peer_messages_dropped_total");
    return false;
  }
  Sent().emit(bytes);
  return true;
}

bool ZmqTransport::SendOnRouter(const std::string& aReturnPath, const wire::Envelope& aEnvelope)
{
  const std::string data = aEnvelope.SerializeAsString();
  const bool sent =
    zmq_send(router_, aReturnPath.data(), aReturnPath.size(), ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
    zmq_send(router_, data.data(), data.size(), ZMQ_DONTWAIT) >= 0;
  ScheduleRouterWakeupIfReady();
  return sent;
}

ZmqLink* ZmqTransport::GetOrCreateLink(const common::Address& aAddress)
{
  if (const auto found = links_.find(aAddress); found != links_.end()) {
    return found->second.get();
  }
  const auto address = common::ParseRemoteAddress(aAddress.Get());
  if (!address) {
    ReportFailedLink(aAddress, "not an IPv4 address with a port from 1 to 65535");
    return nullptr;
  }
  const std::string source = settings_.sourceIp_.empty() ? "" : settings_.sourceIp_ + ":0;";
  auto receiver = [this, aAddress](const char* aData, std::size_t aSize) {
    Deliver({ aAddress, "" }, aData, aSize);
  };
  auto link = std::make_unique<ZmqLink>(loop_,
                                        context_,
                                        "tcp://" + source + address->host_ + ":" +
                                          std::to_string(address->port_),
                                        receiver,
                                        common::Now());
  if (!link->Open()) {
    ReportFailedLink(aAddress, link->Fault());
    return nullptr;
  }
  return links_.emplace(aAddress, std::move(link)).first->second.get();
}

void ZmqTransport::ReportFailedLink(const common::Address& aAddress, const std::string& aReason)
{
  counters_.Add("peer_links_failed_total");
  common::LogEvent(common::Severity::kWarn,
                   "peer_link_failed",
                   { { "address", aAddress.Get() }, { "reason", aReason } });
}

void ZmqTransport::ReadRouter()
{
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    std::string returnPath;
    std::string data;
    bool hasMore = false;
    if (!ReceivePart(router_, returnPath, hasMore)) {
      break;
    }
    while (hasMore && ReceivePart(router_, data, hasMore)) {
    }
    Deliver({ common::Address(), returnPath }, data.data(), data.size());
  }
  ScheduleRouterWakeupIfReady();
}

void ZmqTransport::ScheduleRouterWakeupIfReady()
{
  // The descriptor is edge-triggered, and a send may have consumed the edge.
  if ((SocketEvents(router_) & ZMQ_POLLIN) != 0) {
    routerWakeup_ = loop_.After(common::Duration(0), [this] { ReadRouter(); });
  }
}

void ZmqTransport::Deliver(const PeerRef& aFrom, const char* aData, std::size_t aSize)
{
  OnLinkResponded(aFrom.address_);
  counters_.Add("peer_messages_received_total");
  counters_.Add("peer_bytes_received_total", aSize);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(aData, static_cast<int>(aSize))) {
    counters_.Add("peer_messages_invalid_total");
    common::LogEvent(common::Severity::kWarn,
                     "peer_message_invalid",
                     { { "reason", "not an envelope" }, { "bytes", aSize } });
    return;
  }
  if (envelope.protocol_version() != kProtocolVersion) {
    counters_.Add("peer_messages_wrong_version_total");
    common::LogEvent(common::Severity::kWarn,
                     "peer_message_invalid",
                     { { "reason", "protocol version" },
                       { "version", envelope.protocol_version() },
                       { "peer", envelope.sender() } });
    return;
  }
  common::Findings findings;
  CheckEnvelope(envelope, findings);
  if (!findings.IsEmpty()) {
    counters_.Add("peer_messages_invalid_total");
    common::LogEvent(
      common::Severity::kWarn,
      "peer_message_invalid",
      { { "reason", findings.All().front().ToString() }, { "peer", envelope.sender() } });
    return;
  }
  if (!envelope.has_heartbeat()) {
    if (!common::HandleMessage("peer", [&] { Received().emit(aFrom, envelope); })) {
      counters_.Add("peer_messages_failed_total");
    }
  } else if (!envelope.heartbeat().is_reply()) {
    wire::Envelope reply = MakeHeartbeat(true);
    Send(aFrom, reply);
  }
}

void ZmqTransport::CheckLinks()
{
  const common::TimePoint now = common::Now();
  std::erase_if(links_, [&](const auto& aLink) {
    return now - aLink.second->LastUsedAt() > settings_.idleClose_;
  });
  std::erase_if(lostPeers_, [&](const common::Address& aPeer) { return !links_.contains(aPeer); });
  std::vector<common::Address> lost;
  for (const auto& [address, link] : links_) {
    if (link->IsUnresponsive(now, settings_.heartbeatInterval_ * settings_.silentIntervals_)) {
      lost.push_back(address);
      if (!link->Reconnect(now)) {
        ReportFailedLink(address, link->Fault());
        continue;
      }
    }
    if (link->NeedsHeartbeat() || link->IsUnresponsive(now, common::Duration(0))) {
      SendHeartbeat(*link, now);
    }
  }
  std::erase_if(links_, [](const auto& aLink) { return !aLink.second->IsOpen(); });
  for (const common::Address& address : lost) {
    OnLinkReplaced(address);
    LinkLost().emit(address);
  }
}

void ZmqTransport::OnLinkReplaced(const common::Address& aAddress)
{
  counters_.Add("peer_links_replaced_total");
  // The link to a daemon that stays unreachable is replaced repeatedly; only the first loss is
  // reported.
  if (lostPeers_.insert(aAddress).second) {
    counters_.Add("peer_links_lost_total");
    common::LogEvent(common::Severity::kWarn,
                     "dependency_lost",
                     { { "dependency", "peer" }, { "address", aAddress.Get() } });
  }
}

void ZmqTransport::OnLinkResponded(const common::Address& aAddress)
{
  if (lostPeers_.erase(aAddress) > 0) {
    counters_.Add("peer_links_regained_total");
    common::LogEvent(common::Severity::kInfo,
                     "dependency_reached",
                     { { "dependency", "peer" }, { "address", aAddress.Get() } });
  }
}

void ZmqTransport::SendHeartbeat(ZmqLink& aLink, common::TimePoint aNow)
{
  wire::Envelope heartbeat = MakeHeartbeat(false);
  SetCommonFields(heartbeat);
  counters_.Add("peer_messages_sent_total");
  counters_.Add("peer_bytes_sent_total", heartbeat.ByteSizeLong());
  aLink.Send(heartbeat.SerializeAsString());
  aLink.MarkHeartbeatSent(aNow);
}

std::vector<LinkInfo> ZmqTransport::Links() const
{
  std::vector<LinkInfo> infos;
  const common::TimePoint now = common::Now();
  for (const auto& [address, link] : links_) {
    infos.push_back(
      { address, now - link->LastReceivedAt(), now - link->LastUsedAt(), link->QueuedMessages() });
  }
  return infos;
}

} // namespace dandelionstand::peer
