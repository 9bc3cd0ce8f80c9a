#ifndef dandelionstand_peer_MembershipTask_h
#define dandelionstand_peer_MembershipTask_h

#include "dandelionstand/peer/EndpointDirectory.h"
#include "dandelionstand/peer/Membership.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <map>
#include <memory>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::platform {
class Log;
struct KeyedReadResult;
} // namespace dandelionstand::platform

namespace dandelionstand::peer {

class ControlSender;
class Transport;
struct PeerRef;
namespace wire {
class Envelope;
} // namespace wire

//! Runs a Membership on the event loop: sends and receives its messages, writes and reads the join
//! records.
class MembershipTask
  : public EndpointDirectory
  , public sigc::trackable
{
public:
  MembershipTask(common::EventLoop& aLoop,
                 ControlSender& aSender,
                 Transport& aTransport,
                 platform::Log& aLog,
                 const Member& aSelf,
                 MembershipSettings aSettings);
  ~MembershipTask() override;

  std::vector<Endpoint> EndpointsOf(const common::ServiceName& aService) const override;

  //! Announces that this daemon's target is ready for a service, or not ready if the name is empty.
  void AnnounceTarget(const common::ServiceName& aService);
  //! Announces that the target is leaving, so that other daemons send it no new work.
  void AnnounceTargetLeaving();
  //! Announces that this daemon stops and ends the periodic work.
  void Stop();
  //! Sets the active configuration version that is sent to other members.
  void SetConfigVersion(common::Version aVersion);

  const Membership& State() const { return membership_; }
  //! Emitted after each change of the member list.
  sigc::signal<void>& Changed() { return changed_; }

private:
  void Handle(const MembershipEvent& aEvent);
  void Perform(const MembershipAction& aAction);
  void OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void RequestJoinRecords();
  void OnJoinRecordsRead(const platform::KeyedReadResult& aResult);
  void WriteJoinRecord(const Member& aSelf);

  common::EventLoop& loop_;
  ControlSender& sender_;
  platform::Log& log_;
  Membership membership_;
  bool isReadingJoinRecords_ = false;
  std::unique_ptr<common::Watch> joinRecordRetry_;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void> changed_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MembershipTask_h
