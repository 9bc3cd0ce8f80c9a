#ifndef dandelionstand_peer_ZmqTransport_h
#define dandelionstand_peer_ZmqTransport_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Transport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {

class ZmqLink;

struct ZmqTransportSettings
{
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address listen_;
  common::Address advertise_;
  std::string sourceIp_; //!< Source IP of outgoing links; if empty, the system selects it.
  common::Duration heartbeatInterval_ = std::chrono::seconds(1);
  //! A link is replaced if a heartbeat is unanswered for this many heartbeat intervals.
  std::uint32_t silentIntervals_ = 3;
  //! A link is closed after it was unused for this long.
  common::Duration idleClose_ = std::chrono::seconds(30);
};

//! State of one outgoing link, for diagnostic dumps.
struct LinkInfo
{
  common::Address address_;
  common::Duration sinceReceived_;
  common::Duration sinceUsed_;
  std::size_t queuedMessages_; //!< Messages waiting until the link is connected.
};

//! Transport on ZeroMQ: one ROUTER socket for incoming links, one DEALER socket for each outgoing
//! link.
class ZmqTransport : public Transport
{
public:
  //! Binds the ROUTER socket; throws std::runtime_error if that fails.
  ZmqTransport(common::EventLoop& aLoop,
               common::Counters& aCounters,
               ZmqTransportSettings aSettings);
  ~ZmqTransport() override;

  bool Send(const PeerRef& aTo, wire::Envelope& aEnvelope) override;

  std::vector<LinkInfo> Links() const;

private:
  void ReadRouter();
  void ScheduleRouterWakeupIfReady();
  void Deliver(const PeerRef& aFrom, const char* aData, std::size_t aSize);
  bool SendOnRouter(const std::string& aReturnPath, const wire::Envelope& aEnvelope);
  //! Null if the address is invalid or no link can be opened.
  ZmqLink* GetOrCreateLink(const common::Address& aAddress);
  void ReportFailedLink(const common::Address& aAddress, const std::string& aReason);
  void CheckLinks();
  void OnLinkReplaced(const common::Address& aAddress);
  void OnLinkResponded(const common::Address& aAddress);
  void SendHeartbeat(ZmqLink& aLink, common::TimePoint aNow);
  void SetCommonFields(wire::Envelope& aEnvelope) const;

  common::EventLoop& loop_;
  common::Counters& counters_;
  ZmqTransportSettings settings_;
  void* context_;
  void* router_;
  std::unique_ptr<common::Watch> routerWatch_;
  std::unique_ptr<common::Watch> routerWakeup_;
  std::unique_ptr<common::Watch> checkTimer_;
  std::map<common::Address, std::unique_ptr<ZmqLink>> links_;
  //! Peers that have sent nothing since the link to them was replaced.
  std::set<common::Address> lostPeers_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqTransport_h
