#include "dandelionstand/peer/ZmqLink.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/ZmqSocket.h"

#include <zmq.h>

#include <stdexcept>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kMaxWaiting = 256;
constexpr int kMaxReadsPerTurn = 64;
constexpr int kReconnectIntervalMs = 100;
constexpr int kReconnectLimitMs = 2000;

} // namespace

ZmqLink::ZmqLink(common::EventLoop& aLoop,
                 void* aContext,
                 std::string aEndpoint,
                 Receiver aReceiver,
                 common::TimePoint aNow)
  : loop_(aLoop)
  , context_(aContext)
  , endpoint_(std::move(aEndpoint))
  , receiver_(std::move(aReceiver))
  , lastHeard_(aNow)
  , lastUsed_(aNow)
{
  Open();
}

ZmqLink::~ZmqLink()
{
  Close();
}

void ZmqLink::Open()
{
  socket_ = OpenSocket(context_, ZMQ_DEALER);
  // Without it, messages would queue for a connection that does not stand and arrive late.
  const int immediate = 1;
  zmq_setsockopt(socket_, ZMQ_IMMEDIATE, &immediate, sizeof(immediate));
  zmq_setsockopt(socket_, ZMQ_RECONNECT_IVL, &kReconnectIntervalMs, sizeof(int));
  zmq_setsockopt(socket_, ZMQ_RECONNECT_IVL_MAX, &kReconnectLimitMs, sizeof(int));
  if (zmq_connect(socket_, endpoint_.c_str()) != 0) {
    throw std::runtime_error("cannot connect to " + endpoint_ + ": " + zmq_strerror(zmq_errno()));
  }
  watch_ = loop_.OnReadable(SocketDescriptor(socket_), [this] { OnReady(); });
  // The descriptor may have fired before it was watched.
  again_ = loop_.After(common::Duration(0), [this] { OnReady(); });
}

void ZmqLink::Close()
{
  watch_.reset();
  again_.reset();
  zmq_close(socket_);
  socket_ = nullptr;
}

void ZmqLink::Replace(common::TimePoint aNow)
{
  Close();
  waiting_.clear();
  lastHeard_ = aNow;
  unansweredSince_.reset();
  Open();
}

void ZmqLink::MarkUsed(common::TimePoint aNow, bool aIsCall)
{
  lastUsed_ = aNow;
  isUsedSinceHeartbeat_ = true;
  carriesCalls_ = carriesCalls_ || aIsCall;
}

void ZmqLink::MarkHeartbeat(common::TimePoint aNow)
{
  isUsedSinceHeartbeat_ = false;
  if (!unansweredSince_) {
    unansweredSince_ = aNow;
  }
}

bool ZmqLink::IsSilent(common::TimePoint aNow, common::Duration aLimit) const
{
  return unansweredSince_ && aNow - *unansweredSince_ > aLimit;
}

bool ZmqLink::Send(std::string aMessage)
{
  const bool isSent = waiting_.empty() && TrySend(aMessage);
  if (!isSent) {
    if (waiting_.size() >= kMaxWaiting) {
      return false;
    }
    waiting_.push_back(std::move(aMessage));
  }
  ScheduleIfReady();
  return true;
}

void ZmqLink::ScheduleIfReady()
{
  // The descriptor is edge-triggered, and any send or receive may have consumed its edge.
  const int events = SocketEvents(socket_);
  const bool canRead = (events & ZMQ_POLLIN) != 0;
  const bool canWrite = (events & ZMQ_POLLOUT) != 0 && !waiting_.empty();
  if (canRead || canWrite) {
    again_ = loop_.After(common::Duration(0), [this] { OnReady(); });
  }
}

bool ZmqLink::TrySend(const std::string& aMessage)
{
  return zmq_send(socket_, aMessage.data(), aMessage.size(), ZMQ_DONTWAIT) >= 0;
}

void ZmqLink::Flush()
{
  while (!waiting_.empty() && TrySend(waiting_.front())) {
    waiting_.pop_front();
  }
}

void ZmqLink::OnReady()
{
  // Reading the events lets the socket take note of new connections before the sends.
  if ((SocketEvents(socket_) & ZMQ_POLLOUT) != 0) {
    Flush();
  }
  ReadAll();
  ScheduleIfReady();
}

void ZmqLink::ReadAll()
{
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    zmq_msg_t message;
    zmq_msg_init(&message);
    const bool received = zmq_msg_recv(&message, socket_, ZMQ_DONTWAIT) >= 0;
    if (received) {
      lastHeard_ = common::Now();
      unansweredSince_.reset();
      receiver_(static_cast<const char*>(zmq_msg_data(&message)), zmq_msg_size(&message));
    }
    zmq_msg_close(&message);
    if (!received) {
      return;
    }
  }
}

} // namespace dandelionstand::peer
