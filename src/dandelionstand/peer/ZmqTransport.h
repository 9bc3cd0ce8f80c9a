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
  std::string sourceIp_; //!< Local IP of outgoing links; empty leaves it to the system.
  common::Duration heartbeatInterval_ = std::chrono::seconds(1);
  std::uint32_t silentIntervals_ = 3; //!< A heartbeat unanswered for so many replaces its link.
  common::Duration idleClose_ = std::chrono::seconds(30); //!< Unused links are closed.
};

//! One outgoing link, for dumps.
struct LinkInfo
{
  common::Address address_;
  common::Duration sinceReceived_;
  common::Duration sinceUsed_;
  std::size_t queuedMessages_; //!< Messages that wait for the connection.
};

//! Links between daemons on ZeroMQ: one ROUTER for all who call us, a DEALER for each we call.
class ZmqTransport : public Transport
{
public:
  //! Binds the ROUTER; throws std::runtime_error if the address is taken.
  ZmqTransport(common::EventLoop& aLoop,
               common::Counters& aCounters,
               ZmqTransportSettings aSettings);
  ~ZmqTransport() override;

  bool Send(const PeerRef& aTo, wire::Envelope& aEnvelope) override;

  //! Every outgoing link.
  std::vector<LinkInfo> Links() const;

private:
  void ReadRouter();
  void ScheduleRouterIfReady();
  void Deliver(const PeerRef& aFrom, const char* aData, std::size_t aSize);
  bool SendOnRouter(const std::string& aReturnPath, const wire::Envelope& aEnvelope);
  ZmqLink& LinkTo(const common::Address& aAddress);
  void CheckLinks();
  void NoteLost(const common::Address& aAddress);
  void NoteHeard(const common::Address& aAddress);
  void SendHeartbeat(ZmqLink& aLink, common::TimePoint aNow);
  void Stamp(wire::Envelope& aEnvelope) const;

  common::EventLoop& loop_;
  common::Counters& counters_;
  ZmqTransportSettings settings_;
  void* context_;
  void* router_;
  std::unique_ptr<common::Watch> routerWatch_;
  std::unique_ptr<common::Watch> routerAgain_;
  std::unique_ptr<common::Watch> tick_;
  std::map<common::Address, std::unique_ptr<ZmqLink>> links_;
  std::set<common::Address> silent_; //!< Of links that were replaced and not heard since.
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqTransport_h
