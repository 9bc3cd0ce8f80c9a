#ifndef dandelionstand_target_TargetMonitor_h
#define dandelionstand_target_TargetMonitor_h

#include "dandelionstand/target/TargetForwarder.h"
#include "dandelionstand/target/TargetRecord.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <memory>
#include <optional>

namespace dandelionstand::target {

//! Tracks the target's readiness and sets or withdraws it in the forwarder accordingly.
class TargetMonitor : public sigc::trackable
{
public:
  //! aService: the service of this instance's target.
  TargetMonitor(common::EventLoop& aLoop,
                common::Counters& aCounters,
                TargetForwarder& aForwarder,
                const common::ServiceName& aService);
  ~TargetMonitor();

  struct Result
  {
    bool isForeign_ = false; //!< Of another service; the announcement has no effect.
    //! The incarnation that the announcement withdraws.
    std::optional<common::TargetIdentity> withdrawn_;
  };

  //! If the target is leaving, it is withdrawn from the forwarder before this returns.
  Result OnAnnouncement(const TargetAnnouncement& aAnnouncement);
  //! An earlier process of this daemon has withdrawn the target.
  void OnEarlierWithdrawal(const common::TargetIdentity& aTarget);
  //! All earlier withdrawals are known. Until then no target is set in the forwarder.
  void OnEarlierWithdrawalsKnown();
  bool IsReady() const { return isReady_; }

  //! Emitted when the target becomes ready or its incarnation or slots change, with its service;
  //! and with an empty name when it is no longer ready.
  sigc::signal<void, const common::ServiceName&>& Changed() { return changed_; }
  //! Emitted once for each incarnation that is leaving, after its withdrawal.
  sigc::signal<void, const common::TargetIdentity&>& Withdrawn() { return withdrawn_; }

private:
  void OnTargetLost(const std::string& aReason);
  void OnTargetLeaving(const common::TargetIdentity& aTarget);
  void Update(const char* aCause);
  void UpdateForwarder(const TargetAnnouncement& aLatest, const char* aCause);

  common::Counters& counters_;
  TargetForwarder& forwarder_;
  TargetRecord record_;
  bool areEarlierWithdrawalsKnown_ = false;
  bool isReady_ = false;
  common::TargetIdentity readyTarget_; //!< Incarnation set in the forwarder; empty if not ready.
  std::uint32_t slots_ = 0;
  std::optional<common::TargetIdentity> withdrawnTarget_; //!< Last one given to Withdrawn.
  std::unique_ptr<common::Watch> updateTimer_;
  sigc::signal<void, const common::ServiceName&> changed_;
  sigc::signal<void, const common::TargetIdentity&> withdrawn_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetMonitor_h
