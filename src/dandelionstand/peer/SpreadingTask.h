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

//! Drives the spreading: reads the log, carries records between daemons and keeps the replica.
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

  //! The configuration to serve callers by; null while this daemon may not serve.
  config::ConfigStatePtr InForce();
  VersionFloor::Decision MayServe();
  const Spreading& State() const { return spreading_; }
  const config::Replica& Replica() const { return replica_; }

  void SetMembers(const Members& aMembers, bool aHasJoined);

  //! Versions in force by failure domain, as known now; asks for newer ones.
  std::vector<DomainVersions> Versions();

  //! Emitted when another version is in force.
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
  void ForceGapIfStuck();
  void AppendSnapshotIfDue();
  std::uint32_t SnapshotRank() const;
  void Report(const std::vector<config::EvaluatedRecord>& aEvaluated);
  void AfterChange();
  void NoteInForce();

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
  common::Offset logFirst_;
  common::Offset logNext_;
  bool isAppending_ = false;
  std::optional<common::TimePoint> gapSince_;
  common::Version inForce_;
  bool mayServe_ = false;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void, common::Version> versionChanged_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_SpreadingTask_h
