// The part of Membership that decides whom to send what.
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kBridges = 2;
constexpr std::size_t kGossipFanOut = 2;
constexpr std::size_t kContactsAtOnce = 3;
constexpr int kMembersInPiggyback = 4;
constexpr int kMembersInMessage = 16;

} // namespace

void Membership::Join()
{
  if (hasJoinedDomain_ || now_ < nextJoin_) {
    return;
  }
  nextJoin_ = now_ + joinBackoff_ / 2 + Jittered(joinBackoff_);
  const bool isFirstTry = joinBackoff_ == settings_.joinRetry_;
  joinBackoff_ = std::min(joinBackoff_ * 2, settings_.maxJoinBackoff_);
  for (const Member& member : PickRandom(table_.LiveInDomain(self_.failureDomain_), kBridges)) {
    Send(member.address_, Greeting(wire::JOIN));
  }
  if (hasJoined_) {
    return;
  }
  std::vector<common::Address> seeds = settings_.seeds_;
  std::erase(seeds, self_.address_);
  std::shuffle(seeds.begin(), seeds.end(), random_);
  seeds.resize(std::min(seeds.size(), kContactsAtOnce));
  for (const common::Address& seed : seeds) {
    Send(seed, Greeting(wire::JOIN));
  }
  if (!isFirstTry || seeds.empty() || settings_.readsJoinRecordsOnFirstTry_) {
    actions_.push_back(ReadJoinRecords{});
  }
}

void Membership::RefreshJoinRecord()
{
  if (now_ >= nextRefresh_) {
    nextRefresh_ = now_ + settings_.joinRefresh_ / 2 + Jittered(settings_.joinRefresh_ / 2);
    actions_.push_back(AppendJoinRecord{ self_ });
  }
}

void Membership::PollJoinRecords()
{
  if (hasJoined_ && IsFirstBridge() && IsDue(nextJoinsPoll_, settings_.joinsPoll_)) {
    actions_.push_back(ReadJoinRecords{});
  }
}

void Membership::SendGossip()
{
  Members peers = table_.LiveInDomain(self_.failureDomain_);
  peers = PickRandom(std::move(peers), kGossipFanOut);
  if (peers.empty()) {
    gossip_.clear();
  }
  for (const Member& peer : peers) {
    wire::MembershipUpdate update;
    Piggyback(update);
    if (update.members_size() > 0) {
      Send(peer.address_, std::move(update));
    }
  }
}

void Membership::SendBorderChanges()
{
  const std::set<common::InstanceId> changes = std::exchange(borderChanges_, {});
  const std::set<common::InstanceId> regionChanges = std::exchange(regionBorderChanges_, {});
  if (!IsBridge()) {
    return;
  }
  const auto sendTo = [this](const Members& aPeers, const std::set<common::InstanceId>& aChanges) {
    Members news;
    for (const common::InstanceId& instance : aChanges) {
      if (const Member* member = table_.Find(instance)) {
        news.push_back(*member);
      }
    }
    for (const Member& peer : aPeers) {
      SendTable(peer.address_, news);
    }
  };
  if (!changes.empty()) {
    sendTo(BorderPeers(false), changes);
  }
  if (!regionChanges.empty()) {
    sendTo(BorderPeers(true), regionChanges);
  }
}

void Membership::SendDigests()
{
  Members peers = PickRandom(table_.LiveInDomain(self_.failureDomain_), 1);
  if (IsBridge()) {
    const Members border = PickRandom(BorderPeers(false), 1);
    peers.insert(peers.end(), border.begin(), border.end());
  }
  for (const Member& peer : peers) {
    wire::MembershipUpdate digest = Greeting(wire::DIGEST);
    AddDigests(digest);
    Send(peer.address_, std::move(digest));
  }
}

void Membership::TryContacts()
{
  Members contacts;
  for (auto entry = contacts_.begin(); entry != contacts_.end();) {
    contacts.push_back(entry->second.member_);
    entry = --entry->second.triesLeft_ > 0 ? std::next(entry) : contacts_.erase(entry);
  }
  Members dead = table_.All();
  std::erase_if(dead, [](const Member& aMember) { return aMember.IsLive(); });
  contacts = PickRandom(std::move(contacts), kContactsAtOnce);
  dead = PickRandom(std::move(dead), 1);
  contacts.insert(contacts.end(), dead.begin(), dead.end());
  for (const Member& contact : contacts) {
    wire::MembershipUpdate digest = Greeting(hasJoined_ ? wire::DIGEST : wire::JOIN);
    if (hasJoined_) {
      AddDigests(digest);
    }
    Send(contact.address_, std::move(digest));
  }
}

void Membership::AnswerJoin(const MembershipMessage& aMessage)
{
  Members live = table_.All();
  std::erase_if(live, [](const Member& aMember) { return !aMember.IsLive(); });
  SendTable(aMessage.senderAddress_, live);
}

void Membership::AnswerDigest(const MembershipMessage& aMessage)
{
  std::set<common::FailureDomain> differing;
  for (const common::FailureDomain& domain : DomainsOf(table_.All())) {
    differing.insert(domain);
  }
  for (const wire::DomainDigest& digest : aMessage.update_.digests()) {
    const common::FailureDomain domain(digest.failure_domain());
    if (table_.DomainHash(domain) == digest.hash()) {
      differing.erase(domain);
    } else {
      differing.insert(domain);
    }
  }
  if (differing.empty()) {
    return;
  }
  Members answer;
  for (const Member& member : table_.All()) {
    if (differing.count(member.failureDomain_) > 0) {
      answer.push_back(member);
    }
  }
  SendTable(aMessage.senderAddress_, answer);
  if (!aMessage.update_.is_reply()) {
    wire::MembershipUpdate digest = Greeting(wire::DIGEST);
    digest.set_is_reply(true);
    AddDigests(digest);
    Send(aMessage.senderAddress_, std::move(digest));
  }
}

bool Membership::IsBridge() const
{
  const Members ranked = RankedInDomain(table_.All(), self_.failureDomain_);
  return IndexOf(ranked, self_.instance_) < kBridges;
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

common::Duration Membership::Jittered(common::Duration aMost)
{
  std::uniform_int_distribution<common::Duration::rep> share(0, aMost.count());
  return common::Duration(share(random_));
}

Members Membership::PickRandom(Members aFrom, std::size_t aCount)
{
  std::erase_if(aFrom,
                [this](const Member& aMember) { return aMember.instance_ == self_.instance_; });
  std::shuffle(aFrom.begin(), aFrom.end(), random_);
  aFrom.resize(std::min(aFrom.size(), aCount));
  return aFrom;
}

Members Membership::BorderPeers(bool aOwnRegionAlone)
{
  const Members all = table_.All();
  Members ownRegion;
  std::map<common::Region, Members> otherRegions;
  for (const common::FailureDomain& domain : DomainsOf(all)) {
    if (domain == self_.failureDomain_) {
      continue;
    }
    Members bridges = RankedInDomain(all, domain);
    bridges.resize(std::min(bridges.size(), kBridges));
    const Member bridge = PickRandom(std::move(bridges), 1).front();
    if (bridge.region_ == self_.region_) {
      ownRegion.push_back(bridge);
    } else {
      otherRegions[bridge.region_].push_back(bridge);
    }
  }
  if (!aOwnRegionAlone) {
    for (auto& [region, bridges] : otherRegions) {
      ownRegion.push_back(PickRandom(std::move(bridges), 1).front());
    }
  }
  return ownRegion;
}

void Membership::Piggyback(wire::MembershipUpdate& aUpdate)
{
  for (auto entry = gossip_.begin();
       entry != gossip_.end() && aUpdate.members_size() < kMembersInPiggyback;) {
    if (const Member* member = table_.Find(entry->first)) {
      WriteMember(*member, *aUpdate.add_members());
    }
    entry = --entry->second > 0 ? std::next(entry) : gossip_.erase(entry);
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

wire::MembershipUpdate Membership::Greeting(wire::MembershipKind aKind) const
{
  wire::MembershipUpdate update;
  update.set_kind(aKind);
  WriteMember(self_, *update.add_members());
  return update;
}

void Membership::Send(const common::Address& aTo, wire::MembershipUpdate aUpdate)
{
  aUpdate.set_config_version(self_.configVersion_.Get());
  actions_.push_back(SendUpdate{ aTo, std::move(aUpdate) });
}

void Membership::SendTable(const common::Address& aTo, const Members& aMembers)
{
  wire::MembershipUpdate update;
  for (const Member& member : aMembers) {
    WriteMember(member, *update.add_members());
    if (update.members_size() == kMembersInMessage) {
      Send(aTo, std::exchange(update, {}));
    }
  }
  if (update.members_size() > 0) {
    Send(aTo, std::move(update));
  }
}

} // namespace dandelionstand::peer
