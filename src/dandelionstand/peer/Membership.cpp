#include "dandelionstand/peer/Membership.h"

#include "dandelionstand/peer/MessageCheck.h"
#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! Transmissions of a change by each member, per round that gossip needs to reach all members
//! (log2 of their number).
constexpr int kTransmissionsPerRound = 3;
constexpr int kMaxContactTries = 5;
//! Time after joining in which a daemon learns of its earlier runs. Later, a greater generation is
//! that of a daemon that has replaced this one, for example while this process was paused.
constexpr common::Duration kSuccessionTime = std::chrono::seconds(30);

int TransmissionsFor(std::size_t aMemberCount)
{
  int rounds = 1;
  while ((std::size_t{ 1 } << rounds) < aMemberCount + 1) {
    ++rounds;
  }
  return rounds * kTransmissionsPerRound;
}

} // namespace

Membership::Membership(Member aSelf,
                       MembershipSettings aSettings,
                       common::TimePoint aNow,
                       std::mt19937_64 aRandom)
  : self_(std::move(aSelf))
  , settings_(std::move(aSettings))
  , random_(aRandom)
  , now_(aNow)
  , prober_(settings_.prober_, aNow)
  , joinBackoff_(settings_.initialJoinBackoff_)
  , nextJoin_(aNow)
  , nextGossip_(aNow)
  , nextDigest_(aNow + settings_.digestInterval_)
  , nextContact_(aNow + settings_.contactInterval_)
  , nextJoinRecordRefresh_(aNow)
  , nextJoinRecordPoll_(aNow + settings_.joinRecordPollInterval_)
  , nextWithdrawalSend_(aNow)
  , recoveryDeadline_(aNow + settings_.recoveryTimeout_)
{
  self_.generation_ = self_.incarnation_.Get();
  table_.Merge(self_);
}

MembershipActions Membership::Handle(const MembershipEvent& aEvent, common::TimePoint aNow)
{
  now_ = aNow;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  FinishRecoveryIfDone();
  if (std::exchange(hasChangedMembers_, false)) {
    actions_.push_back(NotifyMembersChanged{});
  }
  return std::exchange(actions_, {});
}

void Membership::On(const MembershipTick&)
{
  TickProber();
  SendJoinIfDue();
  RefreshJoinRecord();
  PollJoinRecords();
  RemoveExpiredTombstones();
  SendWithdrawalIfDue();
  if (IsDue(nextGossip_, settings_.gossipInterval_)) {
    SendGossip();
    SendCrossDomainChanges();
  }
  if (IsDue(nextDigest_, settings_.digestInterval_)) {
    SendDigests();
  }
  if (IsDue(nextContact_, settings_.contactInterval_)) {
    TryContacts();
  }
}

void Membership::On(const MembershipMessage& aMessage)
{
  if (aMessage.sender_ == self_.instance_) {
    return;
  }
  const Member* known = table_.Find(aMessage.sender_);
  const Member sender = known == nullptr ? Member{} : *known;
  for (const wire::Member& received : aMessage.update_.members()) {
    MergeMember(ParseMember(received), known == nullptr ? nullptr : &sender);
  }
  RecordSender(aMessage);
  switch (aMessage.update_.kind()) {
    case wire::PING: {
      wire::MembershipUpdate ack;
      ack.set_kind(wire::ACK);
      ack.set_sequence(aMessage.update_.sequence());
      Piggyback(ack);
      Send(aMessage.senderAddress_, std::move(ack));
      break;
    }
    case wire::ACK:
      for (const ProbeAction& action : prober_.OnAck(aMessage.update_.sequence())) {
        Perform(action);
      }
      break;
    case wire::PING_REQUEST:
      for (const ProbeAction& action :
           prober_.OnPingRequest(aMessage.senderAddress_,
                                 aMessage.update_.sequence(),
                                 common::Address(aMessage.update_.subject()))) {
        Perform(action);
      }
      break;
    case wire::JOIN:
      AnswerJoin(aMessage);
      break;
    case wire::DIGEST:
      AnswerDigest(aMessage);
      break;
    case wire::STORE_STATE:
      AnswerStoreState(aMessage);
      break;
    case wire::STATE_STORED:
      OnStateStored(aMessage.update_.sequence());
      break;
    default:
      break;
  }
}

void Membership::On(const JoinRecordsRead& aRead)
{
  hasTriedJoinRecords_ = true;
  hasReadJoinRecords_ = true;
  for (const Member& member : aRead.members_) {
    if (member.instance_ == self_.instance_) {
      SucceedEarlierRun(member);
      RecoverWithdrawal(member.withdrawal_);
      isWithdrawalInLog_ = isWithdrawalInLog_ || member.withdrawal_ == self_.withdrawal_;
      continue;
    }
    const Member* known = table_.Find(member.instance_);
    if (known != nullptr && known->generation_ >= member.generation_) {
      contacts_.erase(member.instance_);
      continue;
    }
    // An instance has several records after a withdrawal.
    const auto contact = contacts_.find(member.instance_);
    if (contact == contacts_.end() || contact->second.member_.generation_ <= member.generation_) {
      contacts_[member.instance_] = { member, kMaxContactTries };
    }
  }
  if (!hasJoined_) {
    TryContacts();
  }
}

void Membership::On(const TargetAnnounced& aAnnounced)
{
  if (self_.service_ == aAnnounced.service_ && self_.status_ == MemberStatus::kAlive) {
    return;
  }
  self_.service_ = aAnnounced.service_;
  self_.status_ = MemberStatus::kAlive;
  AnnounceSelfChange();
}

void Membership::On(const TargetLeaving&)
{
  if (self_.status_ == MemberStatus::kLeaving) {
    return;
  }
  self_.status_ = MemberStatus::kLeaving;
  AnnounceSelfChange();
}

void Membership::On(const DaemonStopping&)
{
  self_.status_ = MemberStatus::kDead;
  self_.hasStopped_ = true;
  AnnounceSelfChange();
  SendGossip();
  for (const Member& peer : PickBridges(false)) {
    SendMembers(peer.address_, { self_ });
  }
}

void Membership::On(const ConfigVersionChanged& aVersion)
{
  self_.configVersion_ = aVersion.version_;
  table_.SetConfigVersion(self_.instance_, aVersion.version_);
}

void Membership::MergeMember(const Member& aIncoming, const Member* aSender)
{
  if (aIncoming.instance_.Get().empty()) {
    return;
  }
  if (aIncoming.instance_ == self_.instance_) {
    OnOwnState(aIncoming);
    return;
  }
  if (!table_.Merge(aIncoming)) {
    return;
  }
  hasChangedMembers_ = true;
  // The merged state differs from aIncoming if only the withdrawal was new.
  const Member& merged = *table_.Find(aIncoming.instance_);
  contacts_.erase(merged.instance_);
  if (merged.IsLive()) {
    deadSince_.erase(merged.instance_);
  } else {
    deadSince_.emplace(merged.instance_, now_);
  }
  pendingGossip_[merged.instance_] =
    TransmissionsFor(table_.LiveInDomain(self_.failureDomain_).size());
  if (merged.status_ == MemberStatus::kSuspect) {
    return;
  }
  const bool isFromOtherRegion = aSender != nullptr && aSender->region_ != self_.region_;
  if (merged.failureDomain_ == self_.failureDomain_) {
    crossDomainChanges_.insert(merged.instance_);
  } else if (isFromOtherRegion) {
    ownRegionChanges_.insert(merged.instance_);
  }
}

void Membership::SucceedEarlierRun(const Member& aState)
{
  const bool isEarlierRun = aState.incarnation_ != self_.incarnation_ &&
                            (!hasJoined_ || now_ < joinedAt_ + kSuccessionTime);
  const bool isGreater =
    aState.generation_ >= self_.generation_ && aState.generation_ < kMaxCountedNumber;
  if (isEarlierRun && isGreater && self_.status_ != MemberStatus::kDead) {
    self_.generation_ = aState.generation_ + 1;
    AnnounceSelfChange();
  }
}

void Membership::Refute(const Member& aClaim)
{
  const bool isThisIncarnation = aClaim.incarnation_ == self_.incarnation_;
  if (self_.status_ == MemberStatus::kDead || !isThisIncarnation || !Supersedes(aClaim, self_)) {
    return;
  }
  self_.revision_ = aClaim.revision_;
  AnnounceSelfChange();
}

void Membership::AnnounceSelfChange()
{
  ++self_.revision_;
  table_.Merge(self_);
  hasChangedMembers_ = true;
  pendingGossip_[self_.instance_] =
    TransmissionsFor(table_.LiveInDomain(self_.failureDomain_).size());
  crossDomainChanges_.insert(self_.instance_);
  nextGossip_ = now_;
}

void Membership::RecordSender(const MembershipMessage& aMessage)
{
  table_.SetConfigVersion(aMessage.sender_, common::Version(aMessage.update_.config_version()));
  const Member* sender = table_.Find(aMessage.sender_);
  if (sender == nullptr) {
    return;
  }
  if (!std::exchange(hasJoined_, true)) {
    joinedAt_ = now_;
    joinBackoff_ = settings_.initialJoinBackoff_;
    crossDomainChanges_.insert(self_.instance_);
  }
  hasJoinedDomain_ = hasJoinedDomain_ || sender->failureDomain_ == self_.failureDomain_;
}

void Membership::TickProber()
{
  Members others = table_.LiveInDomain(self_.failureDomain_);
  std::erase_if(others,
                [this](const Member& aMember) { return aMember.instance_ == self_.instance_; });
  for (const ProbeAction& action : prober_.Tick(others, now_, random_)) {
    Perform(action);
  }
}

void Membership::Perform(const ProbeAction& aAction)
{
  wire::MembershipUpdate update;
  if (const auto* ping = std::get_if<SendPing>(&aAction)) {
    update.set_kind(wire::PING);
    update.set_sequence(ping->sequence_);
    Piggyback(update);
    Send(ping->destination_, std::move(update));
  } else if (const auto* request = std::get_if<SendPingRequest>(&aAction)) {
    update.set_kind(wire::PING_REQUEST);
    update.set_sequence(request->sequence_);
    update.set_subject(request->subject_.Get());
    Send(request->destination_, std::move(update));
  } else if (const auto* forward = std::get_if<ForwardAck>(&aAction)) {
    update.set_kind(wire::ACK);
    update.set_sequence(forward->sequence_);
    Send(forward->destination_, std::move(update));
  } else if (const auto* suspect = std::get_if<MarkSuspect>(&aAction)) {
    SetMemberStatus(suspect->instance_, MemberStatus::kSuspect);
  } else if (const auto* dead = std::get_if<DeclareDead>(&aAction)) {
    SetMemberStatus(dead->instance_, MemberStatus::kDead);
  }
}

void Membership::SetMemberStatus(const common::InstanceId& aInstance, MemberStatus aStatus)
{
  const Member* known = table_.Find(aInstance);
  if (known != nullptr) {
    Member changed = *known;
    changed.status_ = aStatus;
    MergeMember(changed, nullptr);
  }
}

void Membership::RemoveExpiredTombstones()
{
  for (auto entry = deadSince_.begin(); entry != deadSince_.end();) {
    if (now_ < entry->second + settings_.tombstoneLifetime_) {
      ++entry;
      continue;
    }
    table_.Remove(entry->first);
    entry = deadSince_.erase(entry);
    hasChangedMembers_ = true;
  }
}

} // namespace dandelionstand::peer
