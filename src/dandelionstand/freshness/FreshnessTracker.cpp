#include "dandelionstand/freshness/FreshnessTracker.h"

#include "dandelionstand/common/Durations.h"
#include "dandelionstand/peer/DocumentReaders.h"
#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::freshness {

namespace {

//! For clocks that differ in rate and for the time from the check until the request has left.
constexpr common::Duration kMaxAgeMargin = std::chrono::milliseconds(250);
//! Shares of the revocation limit. A proof passes a reader, the first member of a domain and, in a
//! domain of more than kFanOut + 1 members, one more: each adds at most a query interval.
constexpr double kReadShare = 0.12;
constexpr double kQueryShare = 0.2;
//! Each is above the age that a proof has in normal operation at its level, and a daemon that
//! others query renews its proof before they do.
constexpr std::array<double, 3> kFallbackShares = { 0.45, 0.62, 0.8 };
constexpr common::Duration kReplyTimeout = std::chrono::milliseconds(400);
constexpr common::Duration kMinFallbackInterval = std::chrono::milliseconds(500);
constexpr common::Duration kMaxFallbackInterval = std::chrono::seconds(2);
//! Members that query one peer. Each query takes about 200 bytes, and a daemon may spend 2 KB a
//! second on control.
constexpr std::size_t kFanOut = 16;

} // namespace

FreshnessSettings MakeFreshnessSettings(common::Duration aRevocationLimit)
{
  return { .maxAge_ = aRevocationLimit - std::min(kMaxAgeMargin, aRevocationLimit / 2),
           .readInterval_ = common::Scale(aRevocationLimit, kReadShare),
           .queryInterval_ = common::Scale(aRevocationLimit, kQueryShare),
           .replyTimeout_ = kReplyTimeout,
           .fallbackAges_ = { common::Scale(aRevocationLimit, kFallbackShares[0]),
                              common::Scale(aRevocationLimit, kFallbackShares[1]),
                              common::Scale(aRevocationLimit, kFallbackShares[2]) },
           .minFallbackInterval_ = kMinFallbackInterval,
           .maxFallbackInterval_ = kMaxFallbackInterval };
}

FreshnessTracker::FreshnessTracker(peer::Member aSelf,
                                   FreshnessSettings aSettings,
                                   std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , random_(aSeed)
  // A reply to an earlier run of this daemon must not match a query of this one.
  , sequence_(self_.incarnation_.Get())
  , fallbackInterval_(aSettings.minFallbackInterval_)
{
  SetMembers({ self_ });
}

void FreshnessTracker::SetMembers(const peer::Members& aMembers)
{
  const peer::Members ranked = peer::RankReaders(aMembers);
  const std::size_t rank = peer::IndexOf(ranked, self_.instance_);
  isReader_ = rank < peer::kDocumentReaders;
  preferredPeers_.clear();
  otherPeers_.clear();
  const peer::Members domain = peer::RankedInDomain(aMembers, self_.failureDomain_);
  const std::size_t index = peer::IndexOf(domain, self_.instance_);
  level_ = 0;
  if (!isReader_ && index > 0 && index < domain.size()) {
    preferredPeers_.push_back(domain[(index - 1) / kFanOut].address_);
    level_ = index <= kFanOut ? 1 : 2;
  }
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (i == rank) {
      continue;
    }
    auto& peers = i < peer::kDocumentReaders ? preferredPeers_ : otherPeers_;
    peers.push_back(ranked[i].address_);
  }
  if (preferredPeers_.size() > 1 && self_.incarnation_.Get() % 2 == 1) {
    // The queries of the domains are shared by the readers.
    std::swap(preferredPeers_.back(), preferredPeers_[preferredPeers_.size() - 2]);
  }
}

void FreshnessTracker::OnVersionActive(common::Version aVersion)
{
  if (aVersion <= version_) {
    return;
  }
  // A proof of the version before stays valid: this version, and any later one, was written after
  // the read of that proof had begun.
  version_ = aVersion;
  if (pending_ && pending_->version_ <= version_) {
    const Proof pending = *std::exchange(pending_, std::nullopt);
    Accept(pending);
  }
}

void FreshnessTracker::OnStoreRead(common::TimePoint aStartedAt)
{
  fallbackInterval_ = settings_.minFallbackInterval_;
  Accept({ version_, aStartedAt });
}

void FreshnessTracker::Accept(const Proof& aProof)
{
  if (aProof.version_ <= version_ && (!provedAt_ || *provedAt_ < aProof.startedAt_)) {
    provedAt_ = aProof.startedAt_;
  }
}

bool FreshnessTracker::OnReply(std::uint64_t aSequence,
                               common::Version aVersion,
                               common::Duration aAge,
                               common::TimePoint aNow)
{
  if (!queriedAt_ || aSequence != sequence_) {
    return true;
  }
  const Proof proof{ aVersion, *std::exchange(queriedAt_, std::nullopt) - aAge };
  if (aVersion > version_) {
    if (!pending_ || pending_->version_ < aVersion || pending_->startedAt_ < proof.startedAt_) {
      pending_ = proof;
    }
    failedQueries_ = 0;
    return false;
  }
  // A lower version may come from a store that was restored from an older copy.
  if (aVersion == version_) {
    Accept(proof);
  }
  // A peer that is cut off itself has nothing to offer.
  const bool isUseful =
    aVersion == version_ && aNow - proof.startedAt_ < settings_.fallbackAges_[level_];
  failedQueries_ = isUseful ? 0 : failedQueries_ + 1;
  if (!isUseful) {
    nextQueryAt_ = aNow;
  }
  return true;
}

FreshnessActions FreshnessTracker::Tick(common::TimePoint aNow)
{
  FreshnessActions actions;
  TickReads(aNow, actions);
  TickQueries(aNow, actions);
  return actions;
}

void FreshnessTracker::TickReads(common::TimePoint aNow, FreshnessActions& aActions)
{
  if (aNow < nextReadAt_) {
    return;
  }
  const bool isOverdue = IsOverdue(aNow);
  if (!isOverdue && !isReader_) {
    return;
  }
  aActions.readsStore_ = true;
  if (isOverdue) {
    std::uniform_int_distribution<common::Duration::rep> jitter(0, fallbackInterval_.count() / 2);
    nextReadAt_ = aNow + fallbackInterval_ + common::Duration(jitter(random_));
    fallbackInterval_ = std::min(2 * fallbackInterval_, settings_.maxFallbackInterval_);
  } else {
    nextReadAt_ = aNow + settings_.readInterval_;
  }
}

void FreshnessTracker::TickQueries(common::TimePoint aNow, FreshnessActions& aActions)
{
  if (queriedAt_ && aNow - *queriedAt_ >= settings_.replyTimeout_) {
    queriedAt_.reset();
    ++failedQueries_;
    nextQueryAt_ = aNow;
  }
  // A reader queries peers only while its own reads fail.
  const bool needsPeer = !isReader_ || IsOverdue(aNow);
  if (!needsPeer || queriedAt_ || aNow < nextQueryAt_) {
    return;
  }
  const std::optional<common::Address> peer = NextPeer();
  if (!peer) {
    return;
  }
  queriedAt_ = aNow;
  nextQueryAt_ = aNow + settings_.queryInterval_;
  aActions.query_ = QueryPeer{ *peer, ++sequence_ };
}

std::optional<common::Address> FreshnessTracker::NextPeer()
{
  if (failedQueries_ < preferredPeers_.size()) {
    return preferredPeers_[failedQueries_];
  }
  if (otherPeers_.empty()) {
    failedQueries_ = 0;
    return preferredPeers_.empty() ? std::nullopt : std::optional(preferredPeers_.front());
  }
  std::uniform_int_distribution<std::size_t> any(0, otherPeers_.size() - 1);
  return otherPeers_[any(random_)];
}

bool FreshnessTracker::IsOverdue(common::TimePoint aNow) const
{
  return !provedAt_ || aNow - *provedAt_ >= settings_.fallbackAges_[level_];
}

std::optional<common::Duration> FreshnessTracker::Age(common::TimePoint aNow) const
{
  return provedAt_ ? std::optional(aNow - *provedAt_) : std::nullopt;
}

bool FreshnessTracker::IsFresh(common::TimePoint aNow) const
{
  const auto age = Age(aNow);
  return age && *age < settings_.maxAge_;
}

} // namespace dandelionstand::freshness
