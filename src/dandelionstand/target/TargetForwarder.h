#ifndef dandelionstand_target_TargetForwarder_h
#define dandelionstand_target_TargetForwarder_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/target/AnswerSender.h"
#include "dandelionstand/target/SlotQueue.h"
#include "dandelionstand/target/TargetConnections.h"

#include <sigc++/trackable.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class CallStart;
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::target {

class ForwardedCall;

//! The only way into the target beside this daemon: takes calls from links, gives them slots and
//! forwards them. Says "not run" only for calls of which the target has not got a byte.
class TargetForwarder : public sigc::trackable
{
public:
  //! Reads the configuration in force; may be null.
  using ConfigSource = std::function<config::ConfigStatePtr()>;

  TargetForwarder(common::EventLoop& aLoop,
                  common::Counters& aCounters,
                  peer::Transport& aTransport,
                  common::Incarnation aIncarnation,
                  ConfigSource aConfig);
  ~TargetForwarder();

  //! Sets or withdraws (empty address) the target.
  void SetTarget(const common::ServiceName& aService, const common::Address& aAddress);
  //! Refuses new calls as not run; those in flight go on.
  void StartDrain();
  std::size_t InFlight() const { return calls_.size(); }
  //! Running and waiting work and the slots, as told on each answer.
  peer::wire::Load LoadNow() const;

private:
  struct Entry
  {
    common::TimePoint deadline_;
    std::unique_ptr<ForwardedCall> call_;
  };

  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnCallStart(const peer::PeerRef& aFrom,
                   const AttemptKey& aKey,
                   const peer::wire::CallStart& aStart);
  void OnCancel(const AttemptKey& aKey);
  void OnFinished(const AttemptKey& aKey);
  void Apply(const SlotActions& aActions);
  void Refuse(const peer::PeerRef& aTo, const AttemptKey& aKey, std::string_view aReason);
  void RefreshLimits();
  void Tick();

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  common::Incarnation incarnation_;
  ConfigSource config_;
  AnswerSender sender_;
  TargetConnections connections_;
  SlotQueue queue_;
  common::ServiceName service_;
  common::Address address_;
  std::map<AttemptKey, Entry> calls_;
  std::unique_ptr<common::Watch> tick_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetForwarder_h
