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

//! One outgoing DEALER. What is sent before the connection stands waits in a short queue.
class ZmqLink
{
public:
  using Receiver = std::function<void(const char* aData, std::size_t aSize)>;

  ZmqLink(common::EventLoop& aLoop,
          void* aContext,
          std::string aEndpoint,
          Receiver aReceiver,
          common::TimePoint aNow);
  ~ZmqLink();
  ZmqLink(const ZmqLink&) = delete;
  ZmqLink& operator=(const ZmqLink&) = delete;

  //! False if the queue is full and the message was dropped.
  bool Send(std::string aMessage);

  //! Closes the socket and connects anew; messages under way are lost.
  void Replace(common::TimePoint aNow);

  common::TimePoint LastHeard() const { return lastHeard_; }
  common::TimePoint LastUsed() const { return lastUsed_; }
  std::size_t Waiting() const { return waiting_.size(); }

  //! Notes a message that is not a heartbeat. A link that carries calls is watched until it closes.
  void MarkUsed(common::TimePoint aNow, bool aIsCall);
  //! True if the link carries calls or was used since the last heartbeat.
  bool NeedsHeartbeat() const { return carriesCalls_ || isUsedSinceHeartbeat_; }
  void MarkHeartbeat(common::TimePoint aNow);
  //! True if nothing was heard for aLimit after a heartbeat that waits for its reply.
  bool IsSilent(common::TimePoint aNow, common::Duration aLimit) const;

private:
  void Open();
  void Close();
  void OnReady();
  void ScheduleIfReady();
  bool TrySend(const std::string& aMessage);
  void Flush();
  void ReadAll();

  common::EventLoop& loop_;
  void* context_;
  std::string endpoint_;
  Receiver receiver_;
  void* socket_ = nullptr;
  std::unique_ptr<common::Watch> watch_;
  std::unique_ptr<common::Watch> again_;
  std::deque<std::string> waiting_;
  common::TimePoint lastHeard_;
  common::TimePoint lastUsed_;
  //! The first heartbeat since the link was last heard.
  std::optional<common::TimePoint> unansweredSince_;
  bool carriesCalls_ = false;
  bool isUsedSinceHeartbeat_ = false;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqLink_h
