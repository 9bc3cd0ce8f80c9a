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

//! Drives the membership: carries its messages, writes and reads join records.
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

  //! Makes the own target known for a service; an empty name withdraws it.
  void Announce(const common::ServiceName& aService);
  //! The target beside this daemon leaves: others send it no new work.
  void Leave();
  //! This daemon ends.
  void Stop();
  void SetConfigVersion(common::Version aVersion);

  const Membership& State() const { return membership_; }
  //! Emitted after each change of the members.
  sigc::signal<void>& Changed() { return changed_; }

private:
  void Handle(const MembershipEvent& aEvent);
  void Perform(const MembershipAction& aAction);
  void OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void ReadJoins();
  void OnJoinsRead(const platform::KeyedReadResult& aResult);
  void Append(const Member& aSelf);

  common::EventLoop& loop_;
  ControlSender& sender_;
  platform::Log& log_;
  Membership membership_;
  bool isReadingJoins_ = false;
  std::unique_ptr<common::Watch> appendAgain_;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void> changed_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MembershipTask_h
