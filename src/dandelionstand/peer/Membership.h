#ifndef dandelionstand_peer_Membership_h
#define dandelionstand_peer_Membership_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/MemberTable.h"
#include "dandelionstand/peer/Prober.h"
#include "dandelionstand/peer/generated/membership.pb.h"

#include <map>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace dandelionstand::peer {

struct MembershipSettings
{
  std::vector<common::Address> seeds_;
  //! Whether the join records are read beside the first try of the seeds, which may know as little.
  bool readsJoinRecordsOnFirstTry_ = false;
  ProberSettings prober_;
  common::Duration gossipInterval_ = std::chrono::milliseconds(200);
  common::Duration digestInterval_ = std::chrono::seconds(5);
  common::Duration contactInterval_ = std::chrono::seconds(2);  //!< Between tries of dead members.
  common::Duration joinRetry_ = std::chrono::milliseconds(500); //!< First try; doubles.
  common::Duration maxJoinBackoff_ = std::chrono::seconds(4);
  common::Duration joinRefresh_ = std::chrono::minutes(5); //!< Well inside the log's retention.
  common::Duration joinsPoll_ = std::chrono::seconds(15);  //!< By the first bridge of a domain.
  common::Duration tombstone_ = std::chrono::minutes(10);  //!< Until a dead member is forgotten.
};

//! Events of the membership.
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
struct TargetAnnounced
{
  common::ServiceName service_; //!< Empty if the target is not ready.
};
struct TargetLeaving
{};
struct DaemonStopping
{};
struct VersionInForce
{
  common::Version version_;
};
using MembershipEvent = std::variant<MembershipTick,
                                     MembershipMessage,
                                     JoinRecordsRead,
                                     TargetAnnounced,
                                     TargetLeaving,
                                     DaemonStopping,
                                     VersionInForce>;

//! Actions that the membership asks its task to carry out.
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
struct MembersChanged
{};
using MembershipAction =
  std::variant<SendUpdate, AppendJoinRecord, ReadJoinRecords, MembersChanged>;
using MembershipActions = std::vector<MembershipAction>;

//! Decides who is a member: gossip liveness inside the own failure domain, changes alone between
//! domains, join records as contacts for newcomers and for parts that lost each other.
class Membership
{
public:
  Membership(Member aSelf,
             MembershipSettings aSettings,
             common::TimePoint aNow,
             std::mt19937_64 aRandom);

  MembershipActions Handle(const MembershipEvent& aEvent, common::TimePoint aNow);

  //! Every known member, this one and dead ones included.
  Members All() const { return table_.All(); }
  const Member& Self() const { return self_; }
  //! True after an answer from any other member.
  bool HasJoined() const { return hasJoined_; }

private:
  struct Contact
  {
    Member member_;
    int triesLeft_;
  };

  void On(const MembershipTick& aTick);
  void On(const MembershipMessage& aMessage);
  void On(const JoinRecordsRead& aRead);
  void On(const TargetAnnounced& aAnnounced);
  void On(const TargetLeaving& aLeaving);
  void On(const DaemonStopping& aStopping);
  void On(const VersionInForce& aVersion);

  void Learn(const Member& aNews, const Member* aSender);
  void Refute(const Member& aClaim);
  void ChangeSelf();
  void NoteHeard(const MembershipMessage& aMessage);
  void Probe();
  void Perform(const ProbeAction& aAction);
  void Mark(const common::InstanceId& aInstance, MemberStatus aStatus);
  void Join();
  void RefreshJoinRecord();
  void PollJoinRecords();
  void ForgetDead();
  void SendGossip();
  void SendBorderChanges();
  void SendDigests();
  void TryContacts();
  void AnswerJoin(const MembershipMessage& aMessage);
  void AnswerDigest(const MembershipMessage& aMessage);

  bool IsBridge() const;
  bool IsFirstBridge() const;
  bool IsDue(common::TimePoint& aNext, common::Duration aInterval);
  common::Duration Jittered(common::Duration aMost);
  Members PickRandom(Members aFrom, std::size_t aCount);
  Members BorderPeers(bool aOwnRegionAlone);
  void Piggyback(wire::MembershipUpdate& aUpdate);
  void AddDigests(wire::MembershipUpdate& aUpdate) const;
  wire::MembershipUpdate Greeting(wire::MembershipKind aKind) const;
  void Send(const common::Address& aTo, wire::MembershipUpdate aUpdate);
  void SendTable(const common::Address& aTo, const Members& aMembers);

  Member self_;
  MembershipSettings settings_;
  std::mt19937_64 random_;
  common::TimePoint now_;
  MembershipActions actions_;
  bool isChanged_ = false;
  MemberTable table_;
  Prober prober_;
  std::map<common::InstanceId, int> gossip_;   //!< Changes and how often each is still to be sent.
  std::set<common::InstanceId> borderChanges_; //!< For every border.
  std::set<common::InstanceId> regionBorderChanges_; //!< For domains of the own region alone.
  std::map<common::InstanceId, common::TimePoint> deadSince_;
  std::map<common::InstanceId, Contact> contacts_;
  bool hasJoined_ = false;
  bool hasJoinedDomain_ = false;
  common::Duration joinBackoff_;
  common::TimePoint nextJoin_;
  common::TimePoint nextGossip_;
  common::TimePoint nextDigest_;
  common::TimePoint nextContact_;
  common::TimePoint nextRefresh_;
  common::TimePoint nextJoinsPoll_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Membership_h
