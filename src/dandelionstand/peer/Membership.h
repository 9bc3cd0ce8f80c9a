#ifndef dandelionstand_peer_Membership_h
#define dandelionstand_peer_Membership_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/MemberTable.h"
#include "dandelionstand/peer/Prober.h"
#include "dandelionstand/peer/generated/membership.pb.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace dandelionstand::peer {

struct MembershipSettings
{
  std::vector<common::Address> seeds_;
  //! True: the join records are read along with the first attempt to join through the seeds, which
  //! may have just started and know no members either. False: only from the second attempt on, or
  //! if there are no seeds.
  bool readsJoinRecordsOnFirstTry_ = false;
  ProberSettings prober_;
  common::Duration gossipInterval_ = std::chrono::milliseconds(200);
  common::Duration digestInterval_ = std::chrono::seconds(5);
  //! Between messages to contacts and dead members.
  common::Duration contactInterval_ = std::chrono::seconds(2);
  //! Mean delay after the first attempt to join; doubles with each further one.
  common::Duration initialJoinBackoff_ = std::chrono::milliseconds(500);
  common::Duration maxJoinBackoff_ = std::chrono::seconds(4);
  //! Well below the log's retention, so that a running daemon's record stays in the log.
  common::Duration joinRecordRefreshInterval_ = std::chrono::minutes(5);
  //! Only the first bridge of a domain polls.
  common::Duration joinRecordPollInterval_ = std::chrono::seconds(15);
  //! Time after which a dead member is removed.
  common::Duration tombstoneLifetime_ = std::chrono::minutes(10);
  //! True: after the start, the withdrawals that earlier incarnations of this daemon announced are
  //! recovered from the log and from other members.
  bool recoversWithdrawals_ = false;
  //! Time after which the recovery ends with what is known.
  common::Duration recoveryTimeout_ = std::chrono::seconds(2);
  //! Until another member has stored a withdrawal, it is sent to further ones.
  common::Duration withdrawalResendInterval_ = std::chrono::milliseconds(100);
};

//! Input events.
struct MembershipTick
{};
struct MembershipMessage
{
  common::InstanceId sender_;
  common::Address senderAddress_;
  wire::MembershipUpdate update_;
};
struct JoinRecordsRead
{
  Members members_;
};
struct JoinRecordsUnavailable
{};
struct TargetAnnounced
{
  common::ServiceName service_; //!< Empty if the target is not ready.
};
struct TargetLeaving
{};
//! The target itself is leaving; unlike TargetLeaving, this is final for its incarnation.
struct TargetWithdrawn
{
  common::TargetIdentity target_;
};
struct WithdrawalRecordAppended
{
  TargetWithdrawal withdrawal_;
};
struct DaemonStopping
{};
struct ConfigVersionChanged
{
  common::Version version_;
};
using MembershipEvent = std::variant<MembershipTick,
                                     MembershipMessage,
                                     JoinRecordsRead,
                                     JoinRecordsUnavailable,
                                     TargetAnnounced,
                                     TargetLeaving,
                                     TargetWithdrawn,
                                     WithdrawalRecordAppended,
                                     DaemonStopping,
                                     ConfigVersionChanged>;

//! Actions for the owner of the Membership to perform.
struct SendUpdate
{
  common::Address destination_;
  wire::MembershipUpdate update_;
};
struct AppendJoinRecord
{
  Member self_;
};
struct ReadJoinRecords
{};
//! Until WithdrawalRecordAppended follows, or the next one of these.
struct AppendWithdrawalRecord
{
  Member self_;
};
struct NotifyMembersChanged
{};
//! Where a withdrawal is stored outside of this process.
enum class WithdrawalStore
{
  kLog,
  kMember,
};
struct NotifyWithdrawalStored
{
  common::TargetIdentity target_;
  WithdrawalStore store_;
};
//! An earlier incarnation of this daemon withdrew the target.
struct NotifyWithdrawalRecovered
{
  common::TargetIdentity target_;
};
//! Emitted once, after the withdrawals that were recovered.
struct NotifyRecoveryFinished
{
  bool isComplete_; //!< False if it ended by its timeout.
};
using MembershipAction = std::variant<SendUpdate,
                                      AppendJoinRecord,
                                      ReadJoinRecords,
                                      AppendWithdrawalRecord,
                                      NotifyMembersChanged,
                                      NotifyWithdrawalStored,
                                      NotifyWithdrawalRecovered,
                                      NotifyRecoveryFinished>;
using MembershipActions = std::vector<MembershipAction>;

//! State machine of the membership protocol. Members of a failure domain probe each other and
//! gossip every change. Other domains receive only the changes, from the domain's bridges (its
//! best-ranked members). Digests repair lost updates. Join records in the log let new daemons and
//! the sides of a healed partition find each other.
//!
//! The last withdrawal of a daemon's target is stored in the log and by other members. A daemon
//! that restarts recovers it from both, since either may be unavailable.
class Membership
{
public:
  Membership(Member aSelf,
             MembershipSettings aSettings,
             common::TimePoint aNow,
             std::mt19937_64 aRandom);

  MembershipActions Handle(const MembershipEvent& aEvent, common::TimePoint aNow);

  //! All known members, including this one and the dead ones.
  Members All() const { return table_.All(); }
  const Member& Self() const { return self_; }
  //! True once a message from a known member has been received.
  bool HasJoined() const { return hasJoined_; }
  //! Instances that are known from their join records only.
  std::size_t UnmetCount() const { return contacts_.size(); }
  //! True if this daemon knows of another member or of an address where one may be.
  bool HasPeers() const;

private:
  //! An instance that is known from its join record only.
  struct Contact
  {
    Member member_;
    int remainingTries_;
  };

  void On(const MembershipTick& aTick);
  void On(const MembershipMessage& aMessage);
  void On(const JoinRecordsRead& aRead);
  void On(const JoinRecordsUnavailable& aUnavailable);
  void On(const TargetAnnounced& aAnnounced);
  void On(const TargetLeaving& aLeaving);
  void On(const TargetWithdrawn& aWithdrawn);
  void On(const WithdrawalRecordAppended& aAppended);
  void On(const DaemonStopping& aStopping);
  void On(const ConfigVersionChanged& aVersion);

  //! Merges aIncoming into the table and schedules the change for sending. aSender is null if the
  //! change was detected locally or the sender is unknown.
  void MergeMember(const Member& aIncoming, const Member* aSender);
  //! Applies what another member knows of this daemon.
  void OnOwnState(const Member& aState);
  //! Applies a withdrawal that the log or another member has stored.
  void RecoverWithdrawal(const TargetWithdrawal& aWithdrawal);
  //! Stores the withdrawal of aTarget with a number above all known ones.
  void StoreWithdrawal(const common::TargetIdentity& aTarget);
  void SendWithdrawalIfDue();
  void AnswerStoreState(const MembershipMessage& aMessage);
  void OnStateStored(std::uint64_t aSequence);
  void FinishRecoveryIfDone();
  //! Announces a greater generation than that of aState, a state of an earlier run of this daemon.
  void SucceedEarlierRun(const Member& aState);
  //! Announces a higher revision if aClaim, a state of this daemon, supersedes its actual state.
  void Refute(const Member& aClaim);
  //! Increments the revision and schedules self_ for sending.
  void AnnounceSelfChange();
  //! Records the sender's configuration version and that this daemon has joined.
  void RecordSender(const MembershipMessage& aMessage);
  void TickProber();
  void Perform(const ProbeAction& aAction);
  void SetMemberStatus(const common::InstanceId& aInstance, MemberStatus aStatus);
  void SendJoinIfDue();
  void RefreshJoinRecord();
  void PollJoinRecords();
  void RemoveExpiredTombstones();
  void SendGossip();
  void SendCrossDomainChanges();
  void SendDigests();
  void TryContacts();
  void AnswerJoin(const MembershipMessage& aMessage);
  void AnswerDigest(const MembershipMessage& aMessage);

  //! Identifies the current state of this member in STORE_STATE.
  std::uint64_t StateSequence() const;
  bool IsBridge() const;
  bool IsFirstBridge() const;
  //! True if aNext has been reached; then also sets aNext to aInterval from now.
  bool IsDue(common::TimePoint& aNext, common::Duration aInterval);
  //! Uniformly distributed between 0 and aMax.
  common::Duration Jittered(common::Duration aMax);
  //! Up to aCount random ones of aCandidates, never this member.
  Members PickRandom(Members aCandidates, std::size_t aCount);
  //! One bridge of each other domain of this region and, unless aOwnRegionOnly, one bridge of each
  //! other region.
  Members PickBridges(bool aOwnRegionOnly);
  //! Adds pending gossip to a message.
  void Piggyback(wire::MembershipUpdate& aUpdate);
  void AddDigests(wire::MembershipUpdate& aUpdate) const;
  //! A message of that kind with this member's state in it.
  wire::MembershipUpdate NewSelfUpdate(wire::MembershipKind aKind) const;
  void Send(const common::Address& aDestination, wire::MembershipUpdate aUpdate);
  void SendMembers(const common::Address& aDestination, const Members& aMembers);

  Member self_;
  MembershipSettings settings_;
  std::mt19937_64 random_;
  common::TimePoint now_;
  MembershipActions actions_;
  bool hasChangedMembers_ = false;
  MemberTable table_;
  Prober prober_;
  std::map<common::InstanceId, int> pendingGossip_; //!< Remaining transmissions by changed member.
  //! To be sent to the other domains of this region and to one domain of each other region.
  std::set<common::InstanceId> crossDomainChanges_;
  //! Received from another region; to be sent to the other domains of this region.
  std::set<common::InstanceId> ownRegionChanges_;
  std::map<common::InstanceId, common::TimePoint> deadSince_;
  std::map<common::InstanceId, Contact> contacts_;
  bool hasJoined_ = false;
  common::TimePoint joinedAt_;   //!< Set if hasJoined_.
  bool hasJoinedDomain_ = false; //!< True once a member of this failure domain has sent a message.
  common::Duration joinBackoff_;
  common::TimePoint nextJoin_;
  common::TimePoint nextGossip_;
  common::TimePoint nextDigest_;
  common::TimePoint nextContact_;
  common::TimePoint nextJoinRecordRefresh_;
  common::TimePoint nextJoinRecordPoll_;
  //! Withdrawn by this incarnation of the daemon.
  std::optional<common::TargetIdentity> withdrawnTarget_;
  std::optional<std::uint64_t> unansweredStoreSequence_; //!< Set until a member stored the state.
  common::TimePoint nextWithdrawalSend_;
  bool isWithdrawalInLog_ = false; //!< Applies to self_.withdrawal_.
  //! Recovery of the withdrawals of earlier incarnations; see settings_.recoversWithdrawals_.
  common::TimePoint recoveryDeadline_;
  bool hasRequestedJoinRecords_ = false;
  bool hasTriedJoinRecords_ = false; //!< The log has answered a request for them or failed.
  bool hasReadJoinRecords_ = false;
  bool hasReceivedOwnState_ = false;
  bool isRecoveryFinished_ = false;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Membership_h
