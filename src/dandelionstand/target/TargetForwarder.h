#ifndef dandelionstand_target_TargetForwarder_h
#define dandelionstand_target_TargetForwarder_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/TransitDelays.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/AnswerSender.h"
#include "dandelionstand/target/ForwardedCall.h"
#include "dandelionstand/target/NoticeTracker.h"
#include "dandelionstand/target/RouteUsage.h"
#include "dandelionstand/target/TargetConnections.h"
#include "dandelionstand/target/UploadReceiver.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::target {

//! Accepts calls from peer links, schedules them on the slots of this daemon's target and forwards
//! them. All calls to the target pass through here.
//!
//! A call is answered as not run only if no byte of it can have reached the target, or if the
//! target states that it did not run it.
class TargetForwarder : public sigc::trackable
{
public:
  //! Returns the active configuration; may be null.
  using ConfigSource = std::function<config::ConfigStatePtr()>;

  TargetForwarder(common::EventLoop& aLoop,
                  common::Counters& aCounters,
                  peer::Transport& aTransport,
                  const dialect::TargetDialect& aDialect,
                  const EgressSettings& aEgress,
                  common::Incarnation aDaemonIncarnation,
                  std::unique_ptr<AdmissionQueue> aQueue,
                  ConfigSource aConfigSource);
  ~TargetForwarder();

  //! The target that work is forwarded to.
  struct Target
  {
    common::ServiceName service_;
    common::Address address_; //!< Empty if no target accepts work.
    common::TargetIdentity
      identity_;              //!< Sent with each request, so that no later incarnation runs it.
    std::uint32_t slots_ = 0; //!< 0: use the limits of its service.
    //! Time over which the usable slots grow to the full number after a start.
    common::Duration rampUpDuration_ = std::chrono::seconds(5);
  };

  //! Sets the target, or withdraws it if the address is empty. Withdrawing refuses queued work.
  void SetTarget(const Target& aTarget);
  //! Returns why a call may not be forwarded now; empty if it may.
  using PermissionCheck = std::function<std::string_view(const peer::wire::CallStart&)>;
  //! Sets a check of each call right before it is forwarded.
  void SetPermissionCheck(PermissionCheck aCheck) { checkPermission_ = std::move(aCheck); }
  //! Emitted if the target cannot be reached or another target has its address.
  sigc::signal<void, const std::string&>& TargetLost() { return targetLost_; }
  //! Emitted if the target states in an answer that it is leaving.
  sigc::signal<void, const common::TargetIdentity&>& TargetLeaving() { return targetLeaving_; }
  //! Requests per second that the target accepts; nullopt if it names no limit.
  std::optional<double> MaxRequestsPerSecond() const
  {
    return notices_.Current().maxRequestsPerSecond_;
  }
  //! Refuses new calls as not run. Calls in flight continue.
  void StartDrain();
  //! Calls whose answers are not sent completely.
  std::size_t InFlight() const { return calls_.size() + sender_.QueuedCount() + uploads_.Count(); }
  //! Counts bytes that leave this instance other than through the transport.
  void RecordEgress(std::size_t aBytes) { sender_.RecordEgress(aBytes); }
  //! The load reported with each answer: running and queued work, and usable slots.
  peer::wire::Load CurrentLoad() const;
  //! The same, with the estimated service time of the route's requests.
  peer::wire::Load CurrentLoad(const std::string& aRoute) const;

private:
  struct CallEntry
  {
    common::TimePoint offeredAt_;
    common::TimePoint deadline_;
    common::TimePoint objective_ = common::TimePoint::max();
    std::unique_ptr<ForwardedCall> call_;
    common::TimePoint startedAt_; //!< Zero until the attempt is forwarded.
  };

  void OnEnvelope(const peer::PeerRef& aCallerDaemon, const peer::wire::Envelope& aEnvelope);
  //! Handles the calls that were read while the loop lagged.
  void HandleDelayedStarts();
  //! Time at which a call that is read now was sent, as estimated by this daemon's clock.
  common::TimePoint SentAt(const AttemptKey& aKey,
                           const peer::wire::CallStart& aStart,
                           common::TimePoint aReadAt,
                           common::Duration aMaxAge);
  void OnCallStart(const peer::PeerRef& aCallerDaemon,
                   const AttemptKey& aKey,
                   const peer::wire::CallStart& aStart,
                   common::TimePoint aReadAt,
                   common::Duration aMaxAge);
  //! Offers a call whose request is complete to the queue.
  void OfferCall(const peer::PeerRef& aCallerDaemon,
                 const Work& aWork,
                 peer::wire::CallStart aStart);
  void StartUpload(const peer::PeerRef& aCallerDaemon,
                   const Work& aWork,
                   const peer::wire::CallStart& aStart);
  void OnCallCancel(const AttemptKey& aKey);
  void OnAnswerLost(const AttemptKey& aKey);
  void OnCallFinished(const AttemptKey& aKey, WorkOutcome aOutcome);
  void Apply(const SlotActions& aActions);
  //! Why a call that the queue has started must not be forwarded; empty if it may.
  std::string_view CheckStart(const CallEntry& aEntry) const;
  void Refuse(const peer::PeerRef& aRecipient,
              const AttemptKey& aKey,
              const peer::wire::CallStart& aStart,
              std::string_view aReason);
  void ApplyNotice(const char* aSource);
  void RefreshLimits();
  void Tick();
  void LogUsage();
  void LogEgress();

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  common::Incarnation daemonIncarnation_;
  ConfigSource configSource_;
  PermissionCheck checkPermission_;
  AnswerSender sender_;
  UploadReceiver uploads_;
  TargetConnections connections_;
  std::unique_ptr<AdmissionQueue> queue_;
  Target target_;
  ForwardedCall::Context callContext_;
  sigc::signal<void, const std::string&> targetLost_;
  sigc::signal<void, const common::TargetIdentity&> targetLeaving_;
  NoticeTracker notices_;
  dialect::TargetNotice appliedNotice_;
  std::map<AttemptKey, CallEntry> calls_;
  struct DelayedStart
  {
    peer::PeerRef callerDaemon_;
    AttemptKey key_;
    peer::wire::CallStart start_;
    common::TimePoint readAt_;
    common::Duration maxAge_{ 0 }; //!< When it was read.
  };
  //! Calls that were read while the loop lagged. They are handled in its next iteration, because
  //! their cancellations may already wait behind them.
  std::vector<DelayedStart> delayedStarts_;
  std::unique_ptr<common::Watch> delayedStartsTimer_;
  RouteUsage usage_;
  peer::TransitDelays transitDelays_;
  std::uint64_t loggedSentBytes_ = 0;
  std::unique_ptr<common::Watch> tickTimer_;
  std::unique_ptr<common::Watch> usageTimer_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetForwarder_h
