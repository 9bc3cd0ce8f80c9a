#include "dandelionstand/peer/Membership.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! How often a change is sent on by one member: a multiple of the rounds that reach everyone.
constexpr int kTransmissionsPerRound = 3;
constexpr int kContactTries = 5;

int TransmissionsFor(std::size_t aMembers)
{
  int rounds = 1;
  while ((std::size_t{ 1 } << rounds) < aMembers + 1) {
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
  , joinBackoff_(settings_.joinRetry_)
  , nextJoin_(aNow)
  , nextGossip_(aNow)
  , nextDigest_(aNow + settings_.digestInterval_)
  , nextContact_(aNow + settings_.contactInterval_)
  , nextRefresh_(aNow)
  , nextJoinsPoll_(aNow + settings_.joinsPoll_)
{
  table_.Merge(self_);
}

MembershipActions Membership::Handle(const MembershipEvent& aEvent, common::TimePoint aNow)
{
  now_ = aNow;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  if (std::exchange(isChanged_, false)) {
    actions_.push_back(MembersChanged{});
  }
  return std::exchange(actions_, {});
}

void Membership::On(const MembershipTick&)
{
  Probe();
  Join();
  RefreshJoinRecord();
  PollJoinRecords();
  ForgetDead();
  if (IsDue(nextGossip_, settings_.gossipInterval_)) {
    SendGossip();
    SendBorderChanges();
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
  for (const wire::Member& news : aMessage.update_.members()) {
    Learn(ParseMember(news), known == nullptr ? nullptr : &sender);
  }
  NoteHeard(aMessage);
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
    default:
      break;
  }
}

void Membership::On(const JoinRecordsRead& aRead)
{
  for (const Member& member : aRead.members_) {
    const Member* known = table_.Find(member.instance_);
    const bool isKnown = known != nullptr && known->incarnation_ >= member.incarnation_;
    if (isKnown || member.instance_ == self_.instance_) {
      contacts_.erase(member.instance_);
      continue;
    }
    contacts_[member.instance_] = { member, kContactTries };
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
  ChangeSelf();
}

void Membership::On(const TargetLeaving&)
{
  if (self_.status_ == MemberStatus::kLeaving) {
    return;
  }
  self_.status_ = MemberStatus::kLeaving;
  ChangeSelf();
}

void Membership::On(const DaemonStopping&)
{
  self_.status_ = MemberStatus::kDead;
  ChangeSelf();
  SendGossip();
  for (const Member& peer : BorderPeers(false)) {
    SendTable(peer.address_, { self_ });
  }
}

void Membership::On(const VersionInForce& aVersion)
{
  self_.configVersion_ = aVersion.version_;
  table_.SetConfigVersion(self_.instance_, aVersion.version_);
}

void Membership::Learn(const Member& aNews, const Member* aSender)
{
  if (aNews.instance_.Get().empty()) {
    return;
  }
  if (aNews.instance_ == self_.instance_) {
    Refute(aNews);
    return;
  }
  if (!table_.Merge(aNews)) {
    return;
  }
  isChanged_ = true;
  contacts_.erase(aNews.instance_);
  if (aNews.IsLive()) {
    deadSince_.erase(aNews.instance_);
  } else {
    deadSince_.emplace(aNews.instance_, now_);
  }
  gossip_[aNews.instance_] = TransmissionsFor(table_.LiveInDomain(self_.failureDomain_).size());
  if (aNews.status_ == MemberStatus::kSuspect) {
    return;
  }
  const bool isFromOtherRegion = aSender != nullptr && aSender->region_ != self_.region_;
  if (aNews.failureDomain_ == self_.failureDomain_) {
    borderChanges_.insert(aNews.instance_);
  } else if (isFromOtherRegion) {
    regionBorderChanges_.insert(aNews.instance_);
  }
}

void Membership::Refute(const Member& aClaim)
{
  const bool isOurs = aClaim.incarnation_ == self_.incarnation_;
  if (self_.status_ == MemberStatus::kDead || !isOurs || !Supersedes(aClaim, self_)) {
    return;
  }
  self_.revision_ = aClaim.revision_;
  ChangeSelf();
}

void Membership::ChangeSelf()
{
  ++self_.revision_;
  table_.Merge(self_);
  isChanged_ = true;
  gossip_[self_.instance_] = TransmissionsFor(table_.LiveInDomain(self_.failureDomain_).size());
  borderChanges_.insert(self_.instance_);
  nextGossip_ = now_;
}

void Membership::NoteHeard(const MembershipMessage& aMessage)
{
  table_.SetConfigVersion(aMessage.sender_, common::Version(aMessage.update_.config_version()));
  const Member* sender = table_.Find(aMessage.sender_);
  if (sender == nullptr) {
    return;
  }
  if (!std::exchange(hasJoined_, true)) {
    joinBackoff_ = settings_.joinRetry_;
    borderChanges_.insert(self_.instance_);
  }
  hasJoinedDomain_ = hasJoinedDomain_ || sender->failureDomain_ == self_.failureDomain_;
}

void Membership::Probe()
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
  } else if (const auto* suspect = std::get_if<Suspect>(&aAction)) {
    Mark(suspect->instance_, MemberStatus::kSuspect);
  } else if (const auto* dead = std::get_if<DeclareDead>(&aAction)) {
    Mark(dead->instance_, MemberStatus::kDead);
  }
}

void Membership::Mark(const common::InstanceId& aInstance, MemberStatus aStatus)
{
  const Member* known = table_.Find(aInstance);
  if (known != nullptr) {
    Member news = *known;
    news.status_ = aStatus;
    Learn(news, nullptr);
  }
}

void Membership::ForgetDead()
{
  for (auto entry = deadSince_.begin(); entry != deadSince_.end();) {
    if (now_ < entry->second + settings_.tombstone_) {
      ++entry;
      continue;
    }
    table_.Remove(entry->first);
    entry = deadSince_.erase(entry);
    isChanged_ = true;
  }
}

} // namespace dandelionstand::peer
