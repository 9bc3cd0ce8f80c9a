#ifndef dandelionstand_peer_MembershipTask_h
#define dandelionstand_peer_MembershipTask_h

#include "dandelionstand/peer/EndpointDirectory.h"
#include "dandelionstand/peer/Membership.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::platform {
class Log;
struct KeyedReadResult;
struct KeyedRecord;
} // namespace dandelionstand::platform

namespace dandelionstand::peer {

class ControlSender;
class Transport;
struct PeerRef;
namespace wire {
class Envelope;
} // namespace wire

//! Runs a Membership on the event loop: sends and receives its messages, writes and reads the join
//! records. Counter: `join_records_invalid_total`.
class MembershipTask
  : public EndpointDirectory
  , public sigc::trackable
{
public:
  MembershipTask(common::EventLoop& aLoop,
                 common::Counters& aCounters,
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
  //! Stores outside of this process that the target is leaving. That is final for its incarnation.
  void StoreWithdrawal(const common::TargetIdentity& aTarget);
  //! Announces that this daemon stops and ends the periodic work.
  void Stop();
  //! Sets the active configuration version that is sent to other members.
  void SetConfigVersion(common::Version aVersion);

  const Membership& State() const { return membership_; }
  //! Emitted after each change of the member list.
  sigc::signal<void>& Changed() { return changed_; }
  //! Emitted when a withdrawal is stored in the log, and when it is stored by another member.
  sigc::signal<void, const common::TargetIdentity&, WithdrawalStore>& WithdrawalStored()
  {
    return withdrawalStored_;
  }
  //! Emitted with the target that an earlier incarnation of this daemon withdrew.
  sigc::signal<void, const common::TargetIdentity&>& WithdrawalRecovered()
  {
    return withdrawalRecovered_;
  }
  //! Emitted once, when the withdrawals of earlier incarnations are known or the recovery timed
  //! out.
  sigc::signal<void>& RecoveryFinished() { return recoveryFinished_; }

private:
  void Handle(const MembershipEvent& aEvent);
  void Perform(const MembershipAction& aAction);
  void OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void RequestJoinRecords();
  void OnJoinRecordsRead(const platform::KeyedReadResult& aResult);
  //! Returns nullopt for a record of another writer that is invalid.
  std::optional<Member> ParseJoinRecord(const platform::KeyedRecord& aRecord);
  void WriteJoinRecord(const Member& aSelf);
  void WriteWithdrawalRecord(const Member& aSelf);
  void ReportRecoveryFinished(bool aIsComplete);

  common::EventLoop& loop_;
  common::Counters& counters_;
  ControlSender& sender_;
  platform::Log& log_;
  Membership membership_;
  bool isReadingJoinRecords_ = false;
  std::map<std::string, common::Offset> invalidRecords_; //!< Reported ones, by key.
  common::TimePoint startedAt_;
  std::unique_ptr<common::Watch> joinRecordRetry_;
  std::unique_ptr<common::Watch> withdrawalRecordRetry_;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void> changed_;
  sigc::signal<void, const common::TargetIdentity&, WithdrawalStore> withdrawalStored_;
  sigc::signal<void, const common::TargetIdentity&> withdrawalRecovered_;
  sigc::signal<void> recoveryFinished_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MembershipTask_h
