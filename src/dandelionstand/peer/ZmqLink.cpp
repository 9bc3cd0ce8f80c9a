#include "dandelionstand/peer/ZmqLink.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/ZmqSocket.h"

#include <zmq.h>

#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kMaxQueuedMessages = 256;
constexpr int kMaxReadsPerTurn = 64;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;

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
  , lastReceivedAt_(aNow)
  , lastUsedAt_(aNow)
{
}

ZmqLink::~ZmqLink()
{
  Close();
}

bool ZmqLink::Open()
{
  socket_ = OpenSocket(context_, ZMQ_DEALER);
  if (socket_ == nullptr) {
    fault_ = zmq_strerror(zmq_errno());
    return false;
  }
  // Otherwise ZeroMQ queues messages while it is not connected and delivers them late.
  const int immediate = 1;
  zmq_setsockopt(socket_, ZMQ_IMMEDIATE, &immediate, sizeof(immediate));
  zmq_setsockopt(socket_, ZMQ_RECONNECT_IVL, &kReconnectIntervalMs, sizeof(int));
  zmq_setsockopt(socket_, ZMQ_RECONNECT_IVL_MAX, &kMaxReconnectIntervalMs, sizeof(int));
  if (zmq_connect(socket_, endpoint_.c_str()) != 0) {
    fault_ = zmq_strerror(zmq_errno());
    Close();
    return false;
  }
  readableWatch_ = loop_.OnReadable(SocketDescriptor(socket_), [this] { OnSocketReady(); });
  // The descriptor is edge-triggered and may have become ready before it was watched.
  wakeup_ = loop_.After(common::Duration(0), [this] { OnSocketReady(); });
  return true;
}

void ZmqLink::Close()
{
  readableWatch_.reset();
  wakeup_.reset();
  if (socket_ != nullptr) {
    zmq_close(std::exchange(socket_, nullptr));
  }
}

bool ZmqLink::Reconnect(common::TimePoint aNow)
{
  Close();
  queue_.clear();
  lastReceivedAt_ = aNow;
  firstUnansweredHeartbeatAt_.reset();
  return Open();
}

void ZmqLink::MarkUsed(common::TimePoint aNow, bool aIsCall)
{
  lastUsedAt_ = aNow;
  isUsedSinceHeartbeat_ = true;
  carriesCalls_ = carriesCalls_ || aIsCall;
}

void ZmqLink::MarkHeartbeatSent(common::TimePoint aNow)
{
  isUsedSinceHeartbeat_ = false;
  if (!firstUnansweredHeartbeatAt_) {
    firstUnansweredHeartbeatAt_ = aNow;
  }
}

bool ZmqLink::IsUnresponsive(common::TimePoint aNow, common::Duration aTimeout) const
{
  return firstUnansweredHeartbeatAt_ && aNow - *firstUnansweredHeartbeatAt_ > aTimeout;
}

bool ZmqLink::Send(std::string aMessage)
{
  const bool isSent = queue_.empty() && TrySend(aMessage);
  if (!isSent) {
    if (queue_.size() >= kMaxQueuedMessages) {
      return false;
    }
    queue_.push_back(std::move(aMessage));
  }
  ScheduleWakeupIfReady();
  return true;
}

void ZmqLink::ScheduleWakeupIfReady()
{
  // The descriptor is edge-triggered, and any send or receive may have consumed the edge.
  const int events = SocketEvents(socket_);
  const bool canRead = (events & ZMQ_POLLIN) != 0;
  const bool canWrite = (events & ZMQ_POLLOUT) != 0 && !queue_.empty();
  if (canRead || canWrite) {
    wakeup_ = loop_.After(common::Duration(0), [this] { OnSocketReady(); });
  }
}

bool ZmqLink::TrySend(const std::string& aMessage)
{
  return zmq_send(socket_, aMessage.data(), aMessage.size(), ZMQ_DONTWAIT) >= 0;
}

void ZmqLink::Flush()
{
  while (!queue_.empty() && TrySend(queue_.front())) {
    queue_.pop_front();
  }
}

void ZmqLink::OnSocketReady()
{
  // Reading the events makes the socket process new connections before the sends.
  if ((SocketEvents(socket_) & ZMQ_POLLOUT) != 0) {
    Flush();
  }
  ReadAvailable();
  ScheduleWakeupIfReady();
}

void ZmqLink::ReadAvailable()
{
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    zmq_msg_t message;
    zmq_msg_init(&message);
    const bool received = zmq_msg_recv(&message, socket_, ZMQ_DONTWAIT) >= 0;
    if (received) {
      lastReceivedAt_ = common::Now();
      firstUnansweredHeartbeatAt_.reset();
      receiver_(static_cast<const char*>(zmq_msg_data(&message)), zmq_msg_size(&message));
    }
    zmq_msg_close(&message);
    if (!received) {
      return;
    }
  }
}

} // namespace dandelionstand::peer
