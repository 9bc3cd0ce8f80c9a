#ifndef dandelionstand_peer_SpreadingTask_h
#define dandelionstand_peer_SpreadingTask_h

#include "dandelionstand/config/Replica.h"
#include "dandelionstand/config/SnapshotPolicy.h"
#include "dandelionstand/peer/Convergence.h"
#include "dandelionstand/peer/Spreading.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <memory>
#include <optional>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {

class ControlSender;
class Transport;
struct PeerRef;
namespace wire {
class Envelope;
} // namespace wire

//! Connects Spreading to the log, the transport and the replica, and carries out its actions.
class SpreadingTask : public sigc::trackable
{
public:
  SpreadingTask(common::EventLoop& aLoop,
                common::Counters& aCounters,
                ControlSender& aSender,
                Transport& aTransport,
                platform::Log& aLog,
                const Member& aSelf,
                const SpreadingSettings& aSettings);
  ~SpreadingTask();

  //! The configuration to serve callers with; null while this daemon may not serve.
  config::ConfigStatePtr ActiveConfig();
  VersionFloor::Decision MayServe();
  const Spreading& State() const { return spreading_; }
  const config::Replica& Replica() const { return replica_; }

  void SetMembers(const Members& aMembers, bool aHasJoined);

  //! Returns the last known active versions by failure domain and requests an update from each
  //! failure domain for later calls.
  std::vector<DomainVersions> QueryVersions();

  //! Emitted when another version becomes active.
  sigc::signal<void, common::Version>& VersionChanged() { return versionChanged_; }

private:
  void Handle(const SpreadingEvent& aEvent);
  void Perform(const SpreadingAction& aAction);
  void Send(const common::Address& aTo, const wire::SpreadingMessage& aMessage);
  void Send(const ConvergenceActions& aActions);
  void OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void OnTick();
  void Read(const ReadLog& aRead);
  void Apply(const Records& aRecords);
  void Restore(const ApplySnapshot& aSnapshot);
  void SendWithSnapshot(const SendSnapshot& aSend);
  void ForceGapIfOverdue();
  void AppendSnapshotIfDue();
  std::uint32_t SnapshotRank() const;
  void ReportRefusedRecords(const std::vector<config::EvaluatedRecord>& aEvaluated);
  void OnReplicaChanged();
  void UpdateActiveVersion();

  common::EventLoop& loop_;
  common::Counters& counters_;
  ControlSender& sender_;
  platform::Log& log_;
  Member self_;
  Members members_;
  Spreading spreading_;
  Convergence convergence_;
  config::Replica replica_;
  config::SnapshotPolicy snapshotPolicy_;
  common::Offset logFirst_; //!< First offset that the log retains.
  common::Offset logNext_;  //!< Offset that the log assigns to the next record; 0 until known.
  bool isAppendingSnapshot_ = false;
  std::optional<common::TimePoint> gapSince_; //!< When the gap of the replica was found.
  common::Version activeVersion_;
  bool mayServe_ = false;
  std::unique_ptr<common::Watch> tickTimer_;
  sigc::signal<void, common::Version> versionChanged_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_SpreadingTask_h
