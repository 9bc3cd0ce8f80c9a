// Outgoing messages of Membership: their receivers, timing and contents.
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kBridgesPerDomain = 2;
constexpr std::size_t kGossipFanOut = 2;
constexpr std::size_t kMaxContactsPerRound = 3;
constexpr int kMaxPiggybackedMembers = 4;
constexpr int kMaxMembersPerMessage = 16;

} // namespace

void Membership::SendJoinIfDue()
{
  if (settings_.recoversWithdrawals_ && !hasRequestedJoinRecords_) {
    hasRequestedJoinRecords_ = true;
    actions_.push_back(ReadJoinRecords{});
  }
  const bool isRecovering = settings_.recoversWithdrawals_ && !isRecoveryFinished_;
  if ((hasJoinedDomain_ && !isRecovering) || now_ < nextJoin_) {
    return;
  }
  nextJoin_ = now_ + joinBackoff_ / 2 + Jittered(joinBackoff_);
  const bool isFirstTry = joinBackoff_ == settings_.initialJoinBackoff_;
  joinBackoff_ = std::min(joinBackoff_ * 2, settings_.maxJoinBackoff_);
  for (const Member& member :
       PickRandom(table_.LiveInDomain(self_.failureDomain_), kBridgesPerDomain)) {
    Send(member.address_, NewSelfUpdate(wire::JOIN));
  }
  if (hasJoined_) {
    return;
  }
  std::vector<common::Address> seeds = settings_.seeds_;
  std::erase(seeds, self_.address_);
  std::shuffle(seeds.begin(), seeds.end(), random_);
  seeds.resize(std::min(seeds.size(), kMaxContactsPerRound));
  for (const common::Address& seed : seeds) {
    Send(seed, NewSelfUpdate(wire::JOIN));
  }
  const bool isReading = isFirstTry && settings_.recoversWithdrawals_;
  const bool readsRecords = !isFirstTry || seeds.empty() || settings_.readsJoinRecordsOnFirstTry_;
  if (readsRecords && !isReading) {
    actions_.push_back(ReadJoinRecords{});
  }
}

void Membership::RefreshJoinRecord()
{
  if (now_ >= nextJoinRecordRefresh_) {
    nextJoinRecordRefresh_ = now_ + settings_.joinRecordRefreshInterval_ / 2 +
                             Jittered(settings_.joinRecordRefreshInterval_ / 2);
    actions_.push_back(AppendJoinRecord{ self_ });
  }
}

void Membership::PollJoinRecords()
{
  if (hasJoined_ && IsFirstBridge() &&
      IsDue(nextJoinRecordPoll_, settings_.joinRecordPollInterval_)) {
    actions_.push_back(ReadJoinRecords{});
  }
}

void Membership::SendGossip()
{
  Members peers = table_.LiveInDomain(self_.failureDomain_);
  peers = PickRandom(std::move(peers), kGossipFanOut);
  if (peers.empty()) {
    pendingGossip_.clear();
  }
  for (const Member& peer : peers) {
    wire::MembershipUpdate update;
    Piggyback(update);
    if (update.members_size() > 0) {
      Send(peer.address_, std::move(update));
    }
  }
}

void Membership::SendCrossDomainChanges()
{
  const std::set<common::InstanceId> changes = std::exchange(crossDomainChanges_, {});
  const std::set<common::InstanceId> regionChanges = std::exchange(ownRegionChanges_, {});
  if (!IsBridge()) {
    return;
  }
  const auto sendTo = [this](const Members& aPeers, const std::set<common::InstanceId>& aChanges) {
    Members changed;
    for (const common::InstanceId& instance : aChanges) {
      if (const Member* member = table_.Find(instance)) {
        changed.push_back(*member);
      }
    }
    for (const Member& peer : aPeers) {
      SendMembers(peer.address_, changed);
    }
  };
  if (!changes.empty()) {
    sendTo(PickBridges(false), changes);
  }
  if (!regionChanges.empty()) {
    sendTo(PickBridges(true), regionChanges);
  }
}

void Membership::SendDigests()
{
  Members peers = PickRandom(table_.LiveInDomain(self_.failureDomain_), 1);
  if (IsBridge()) {
    const Members remotePeers = PickRandom(PickBridges(false), 1);
    peers.insert(peers.end(), remotePeers.begin(), remotePeers.end());
  }
  for (const Member& peer : peers) {
    wire::MembershipUpdate digest = NewSelfUpdate(wire::DIGEST);
    AddDigests(digest);
    Send(peer.address_, std::move(digest));
  }
}

void Membership::TryContacts()
{
  Members contacts;
  for (auto entry = contacts_.begin(); entry != contacts_.end();) {
    contacts.push_back(entry->second.member_);
    const bool isGivenUp = --entry->second.remainingTries_ == 0;
    hasChangedMembers_ = hasChangedMembers_ || isGivenUp;
    entry = isGivenUp ? contacts_.erase(entry) : std::next(entry);
  }
  Members dead = table_.All();
  std::erase_if(dead, [](const Member& aMember) { return aMember.IsLive(); });
  contacts = PickRandom(std::move(contacts), kMaxContactsPerRound);
  dead = PickRandom(std::move(dead), 1);
  contacts.insert(contacts.end(), dead.begin(), dead.end());
  for (const Member& contact : contacts) {
    wire::MembershipUpdate message = NewSelfUpdate(hasJoined_ ? wire::DIGEST : wire::JOIN);
    if (hasJoined_) {
      AddDigests(message);
    }
    Send(contact.address_, std::move(message));
  }
}

void Membership::AnswerJoin(const MembershipMessage& aMessage)
{
  // The sender's own state is sent even if it is dead: that of an earlier run, to be superseded.
  Members answer = table_.All();
  std::erase_if(answer, [&](const Member& aMember) {
    return !aMember.IsLive() && aMember.instance_ != aMessage.sender_;
  });
  SendMembers(aMessage.senderAddress_, answer);
}

void Membership::AnswerDigest(const MembershipMessage& aMessage)
{
  std::set<common::FailureDomain> differingDomains;
  for (const common::FailureDomain& domain : DomainsOf(table_.All())) {
    differingDomains.insert(domain);
  }
  for (const wire::DomainDigest& digest : aMessage.update_.digests()) {
    const common::FailureDomain domain(digest.failure_domain());
    if (table_.DomainHash(domain) == digest.hash()) {
      differingDomains.erase(domain);
    } else {
      differingDomains.insert(domain);
    }
  }
  if (differingDomains.empty()) {
    return;
  }
  Members answer;
  for (const Member& member : table_.All()) {
    if (differingDomains.count(member.failureDomain_) > 0) {
      answer.push_back(member);
    }
  }
  SendMembers(aMessage.senderAddress_, answer);
  if (!aMessage.update_.is_reply()) {
    wire::MembershipUpdate digest = NewSelfUpdate(wire::DIGEST);
    digest.set_is_reply(true);
    AddDigests(digest);
    Send(aMessage.senderAddress_, std::move(digest));
  }
}

bool Membership::IsBridge() const
{
  const Members ranked = RankedInDomain(table_.All(), self_.failureDomain_);
  return IndexOf(ranked, self_.instance_) < kBridgesPerDomain;
}

bool Membership::IsFirstBridge() const
{
  const Members ranked = RankedInDomain(table_.All(), self_.failureDomain_);
  return IndexOf(ranked, self_.instance_) == 0;
}

bool Membership::IsDue(common::TimePoint& aNext, common::Duration aInterval)
{
  if (now_ < aNext) {
    return false;
  }
  aNext = now_ + aInterval;
  return true;
}

common::Duration Membership::Jittered(common::Duration aMax)
{
  std::uniform_int_distribution<common::Duration::rep> share(0, aMax.count());
  return common::Duration(share(random_));
}

Members Membership::PickRandom(Members aCandidates, std::size_t aCount)
{
  std::erase_if(aCandidates,
                [this](const Member& aMember) { return aMember.instance_ == self_.instance_; });
  std::shuffle(aCandidates.begin(), aCandidates.end(), random_);
  aCandidates.resize(std::min(aCandidates.size(), aCount));
  return aCandidates;
}

Members Membership::PickBridges(bool aOwnRegionOnly)
{
  const Members all = table_.All();
  Members picked;
  std::map<common::Region, Members> remoteRegions;
  for (const common::FailureDomain& domain : DomainsOf(all)) {
    if (domain == self_.failureDomain_) {
      continue;
    }
    Members bridges = RankedInDomain(all, domain);
    bridges.resize(std::min(bridges.size(), kBridgesPerDomain));
    const Member bridge = PickRandom(std::move(bridges), 1).front();
    if (bridge.region_ == self_.region_) {
      picked.push_back(bridge);
    } else {
      remoteRegions[bridge.region_].push_back(bridge);
    }
  }
  if (!aOwnRegionOnly) {
    for (auto& [region, bridges] : remoteRegions) {
      picked.push_back(PickRandom(std::move(bridges), 1).front());
    }
  }
  return picked;
}

void Membership::Piggyback(wire::MembershipUpdate& aUpdate)
{
  for (auto entry = pendingGossip_.begin();
       entry != pendingGossip_.end() && aUpdate.members_size() < kMaxPiggybackedMembers;) {
    if (const Member* member = table_.Find(entry->first)) {
      WriteMember(*member, *aUpdate.add_members());
    }
    entry = --entry->second > 0 ? std::next(entry) : pendingGossip_.erase(entry);
  }
}

void Membership::AddDigests(wire::MembershipUpdate& aUpdate) const
{
  for (const common::FailureDomain& domain : DomainsOf(table_.All())) {
    wire::DomainDigest* digest = aUpdate.add_digests();
    digest->set_failure_domain(domain.Get());
    digest->set_hash(table_.DomainHash(domain));
  }
}

wire::MembershipUpdate Membership::NewSelfUpdate(wire::MembershipKind aKind) const
{
  wire::MembershipUpdate update;
  update.set_kind(aKind);
  WriteMember(self_, *update.add_members());
  return update;
}

void Membership::Send(const common::Address& aDestination, wire::MembershipUpdate aUpdate)
{
  aUpdate.set_config_version(self_.configVersion_.Get());
  actions_.push_back(SendUpdate{ aDestination, std::move(aUpdate) });
}

void Membership::SendMembers(const common::Address& aDestination, const Members& aMembers)
{
  wire::MembershipUpdate update;
  for (const Member& member : aMembers) {
    WriteMember(member, *update.add_members());
    if (update.members_size() == kMaxMembersPerMessage) {
      Send(aDestination, std::exchange(update, {}));
    }
  }
  if (update.members_size() > 0) {
    Send(aDestination, std::move(update));
  }
}

} // namespace dandelionstand::peer
