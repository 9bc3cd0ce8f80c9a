#ifndef dandelionstand_target_TargetForwarder_h
#define dandelionstand_target_TargetForwarder_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/AnswerSender.h"
#include "dandelionstand/target/ForwardedCall.h"
#include "dandelionstand/target/TargetConnections.h"

#include <sigc++/signal.h>
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
                  const dialect::TargetDialect& aDialect,
                  common::Incarnation aDaemonIncarnation,
                  std::unique_ptr<AdmissionQueue> aQueue,
                  ConfigSource aConfigSource);
  ~TargetForwarder();

  //! What is known of the target that work may go to.
  struct Target
  {
    common::ServiceName service_;
    common::Address address_;   //!< Empty: there is none that takes work.
    std::string incarnationId_; //!< Sent with each request, so that no later start runs it.
    std::uint32_t slots_ = 0;   //!< 0: as the limits of its service say.
    common::Duration rampUpDuration_ =
      std::chrono::seconds(5); //!< Time to take work up after a start.
  };

  //! Sets or withdraws the target. Withdrawing refuses the work that waits.
  void SetTarget(const Target& aTarget);
  //! Emitted if the target cannot be reached, or another one has its address.
  sigc::signal<void, const std::string&>& TargetLost() { return targetLost_; }
  //! Refuses new calls as not run; those in flight go on.
  void StartDrain();
  std::size_t InFlight() const { return calls_.size(); }
  //! RunningCount and waiting work and the slots, as told on each answer.
  peer::wire::Load CurrentLoad() const;
  //! The same, with the usual time of a route's requests.
  peer::wire::Load CurrentLoad(const std::string& aRoute) const;

private:
  struct CallEntry
  {
    common::TimePoint offeredAt_;
    common::TimePoint deadline_;
    std::unique_ptr<ForwardedCall> call_;
  };

  void OnEnvelope(const peer::PeerRef& aCallerDaemon, const peer::wire::Envelope& aEnvelope);
  void OnCallStart(const peer::PeerRef& aCallerDaemon,
                   const AttemptKey& aKey,
                   const peer::wire::CallStart& aStart);
  void OnCallCancel(const AttemptKey& aKey);
  void OnFinished(const AttemptKey& aKey, WorkOutcome aOutcome);
  void Apply(const SlotActions& aActions);
  void Refuse(const peer::PeerRef& aRecipient,
              const AttemptKey& aKey,
              const peer::wire::CallStart& aStart,
              std::string_view aReason);
  void RefreshLimits();
  void Tick();

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  common::Incarnation daemonIncarnation_;
  ConfigSource configSource_;
  AnswerSender sender_;
  TargetConnections connections_;
  std::unique_ptr<AdmissionQueue> queue_;
  Target target_;
  ForwardedCall::Context callContext_;
  sigc::signal<void, const std::string&> targetLost_;
  std::map<AttemptKey, CallEntry> calls_;
  std::unique_ptr<common::Watch> tickTimer_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetForwarder_h
