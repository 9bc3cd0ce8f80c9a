#ifndef dandelionstand_target_TargetForwarder_h
#define dandelionstand_target_TargetForwarder_h

#include "dandelionstand/common/Ids.h"

#include <sigc++/trackable.h>

#include <cstddef>
#include <map>
#include <memory>

namespace dandelionstand::common {
class Counters;
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::peer {
class Transport;
struct PeerRef;
} // namespace dandelionstand::peer

namespace dandelionstand::peer::wire {
class CallStart;
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::target {

class ForwardedCall;

//! The only way into the target beside this daemon: takes calls from links and forwards them.
class TargetForwarder : public sigc::trackable
{
public:
  TargetForwarder(common::EventLoop& aLoop,
                  common::Counters& aCounters,
                  peer::Transport& aTransport,
                  common::Incarnation aIncarnation);
  ~TargetForwarder();

  //! Sets or withdraws (empty address) the target.
  void SetTarget(const common::ServiceName& aService, const common::Address& aAddress);
  //! Refuses new calls as not run; those in flight go on.
  void StartDrain() { isDraining_ = true; }
  std::size_t InFlight() const { return calls_.size(); }

private:
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnCallStart(const peer::PeerRef& aFrom, const peer::wire::CallStart& aStart);
  void Refuse(const peer::PeerRef& aFrom, const peer::wire::CallStart& aStart, const char* aReason);

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  common::Incarnation incarnation_;
  common::ServiceName service_;
  common::Address address_;
  bool isDraining_ = false;
  std::map<const ForwardedCall*, std::unique_ptr<ForwardedCall>> calls_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetForwarder_h
