#ifndef dandelionstand_peer_ZmqLink_h
#define dandelionstand_peer_ZmqLink_h

#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {

//! An outgoing link: one DEALER socket. Messages are queued, up to a limit, until it is connected.
class ZmqLink
{
public:
  using Receiver = std::function<void(const char* aData, std::size_t aSize)>;

  //! Not open until Open is called.
  ZmqLink(common::EventLoop& aLoop,
          void* aContext,
          std::string aEndpoint,
          Receiver aReceiver,
          common::TimePoint aNow);
  ~ZmqLink();
  ZmqLink(const ZmqLink&) = delete;
  ZmqLink& operator=(const ZmqLink&) = delete;

  //! Opens the socket and starts to connect. False if that is impossible, with the reason in Fault;
  //! the link is closed then.
  bool Open();
  bool IsOpen() const { return socket_ != nullptr; }
  const std::string& Fault() const { return fault_; }

  //! False if the queue is full and the message was dropped.
  bool Send(std::string aMessage);

  //! Replaces the socket by a new one, like Open; queued messages and those in transit are lost.
  bool Reconnect(common::TimePoint aNow);

  common::TimePoint LastReceivedAt() const { return lastReceivedAt_; }
  common::TimePoint LastUsedAt() const { return lastUsedAt_; }
  std::size_t QueuedMessages() const { return queue_.size(); }

  //! Records that a message other than a heartbeat was sent. Once a link has carried a call, it
  //! needs heartbeats until it is closed.
  void MarkUsed(common::TimePoint aNow, bool aIsCall);
  //! True if the link carries calls or was used since the last heartbeat.
  bool NeedsHeartbeat() const { return carriesCalls_ || isUsedSinceHeartbeat_; }
  void MarkHeartbeatSent(common::TimePoint aNow);
  //! True if a heartbeat was sent more than aTimeout ago and nothing has been received since.
  bool IsUnresponsive(common::TimePoint aNow, common::Duration aTimeout) const;

private:
  void Close();
  void OnSocketReady();
  void ScheduleWakeupIfReady();
  bool TrySend(const std::string& aMessage);
  void Flush();
  void ReadAvailable();

  common::EventLoop& loop_;
  void* context_;
  std::string endpoint_;
  Receiver receiver_;
  void* socket_ = nullptr;
  std::string fault_;
  std::unique_ptr<common::Watch> readableWatch_;
  std::unique_ptr<common::Watch> wakeup_; //!< Calls OnSocketReady in the next turn of the loop.
  std::deque<std::string> queue_;
  common::TimePoint lastReceivedAt_;
  common::TimePoint lastUsedAt_;
  //! When the first heartbeat after the last received message was sent.
  std::optional<common::TimePoint> firstUnansweredHeartbeatAt_;
  bool carriesCalls_ = false;
  bool isUsedSinceHeartbeat_ = false;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqLink_h
