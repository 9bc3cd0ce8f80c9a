#include "dandelionstand/peer/DocumentReaders.h"

#include "dandelionstand/common/Durations.h"
#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! Members that take over first: over all failure domains, and in each of them.
constexpr std::size_t kBackupReaders = 4;
constexpr std::size_t kDomainBackupReaders = 1;

//! Shares of the time within which a version must be active. A confirmation is at most a poll and
//! its transfer old; a takeover leaves a fifth of the time for the read.
constexpr double kPollWaitShare = 0.55;
constexpr double kBackupTakeoverShare = 0.70;
constexpr double kTakeoverShare = 0.77;
constexpr double kTakeoverSpreadShare = 0.05;
//! A shorter limit could not be met and would turn the long polls into a busy loop.
constexpr common::Duration kMinApplyLimit = std::chrono::milliseconds(500);

//! Members that stay and respond, in rank order.
Members RankedCandidates(const Members& aMembers)
{
  Members ranked;
  for (const Member& member : aMembers) {
    if (member.status_ == MemberStatus::kAlive) {
      ranked.push_back(member);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Member& aLhs, const Member& aRhs) {
    return RankHash(aLhs.instance_) < RankHash(aRhs.instance_);
  });
  return ranked;
}

//! Moves the best-ranked member of another region than the first one's to the second place, so that
//! the loss of a region does not take both readers. If there is only one region, the best-ranked
//! member of another failure domain is moved.
void SeparateReaders(Members& aRanked)
{
  if (aRanked.size() <= kDocumentReaders) {
    return;
  }
  const Member& first = aRanked.front();
  auto second = std::find_if(aRanked.begin() + 1, aRanked.end(), [&](const Member& aMember) {
    return aMember.region_ != first.region_;
  });
  if (second == aRanked.end()) {
    second = std::find_if(aRanked.begin() + 1, aRanked.end(), [&](const Member& aMember) {
      return aMember.failureDomain_ != first.failureDomain_;
    });
  }
  if (second != aRanked.end()) {
    std::rotate(aRanked.begin() + 1, second, second + 1);
  }
}

Members InDomain(const Members& aMembers, const common::FailureDomain& aDomain)
{
  Members result;
  std::copy_if(aMembers.begin(),
               aMembers.end(),
               std::back_inserter(result),
               [&](const Member& aMember) { return aMember.failureDomain_ == aDomain; });
  return result;
}

} // namespace

Members RankReaders(const Members& aMembers)
{
  Members ranked = RankedCandidates(aMembers);
  SeparateReaders(ranked);
  return ranked;
}

DocumentReadersSettings MakeDocumentReadersSettings(common::Duration aApplyLimit)
{
  const common::Duration limit = std::max(aApplyLimit, kMinApplyLimit);
  return { .pollWait_ = common::Scale(limit, kPollWaitShare),
           .backupTakeoverAge_ = common::Scale(limit, kBackupTakeoverShare),
           .takeoverAge_ = common::Scale(limit, kTakeoverShare),
           .takeoverSpread_ = common::Scale(limit, kTakeoverSpreadShare) };
}

DocumentReaders::DocumentReaders(Member aSelf,
                                 DocumentReadersSettings aSettings,
                                 common::TimePoint aNow,
                                 std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , takeoverAge_(aSettings.takeoverAge_)
  , confirmedAt_(aNow)
{
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<common::Duration::rep> spread(0, settings_.takeoverSpread_.count());
  takeoverAge_ += common::Duration(spread(random));
  SetMembers({ self_ });
}

void DocumentReaders::SetMembers(const Members& aMembers)
{
  members_ = RankReaders(aMembers);
  const std::size_t rank = IndexOf(members_, self_.instance_);
  readerIndex_ = rank < kDocumentReaders ? std::optional(rank) : std::nullopt;
  const Members domain = InDomain(members_, self_.failureDomain_);
  isBackup_ = rank < kDocumentReaders + kBackupReaders ||
              IndexOf(domain, self_.instance_) < kDomainBackupReaders;
}

DocumentReaders::Confirmations DocumentReaders::OnVersionActive(common::Version aVersion)
{
  version_ = std::max(version_, aVersion);
  if (!pending_ || pending_->confirmation_.version_ > version_) {
    return {};
  }
  const SendConfirmation pending = *std::exchange(pending_, std::nullopt);
  Accept(pending.confirmation_);
  return pending.isRelay_ ? ForwardToDomain(pending.confirmation_) : Confirmations{};
}

DocumentReaders::Confirmations DocumentReaders::OnStoreAnswer(common::Offset aNextOffset,
                                                              common::TimePoint aNow)
{
  nextOffset_ = std::max(nextOffset_, aNextOffset);
  if (readerIndex_ || (isBackup_ && isTakingOver_)) {
    return ConfirmToAll({ version_, aNow, nextOffset_ });
  }
  return {};
}

DocumentReaders::Confirmations DocumentReaders::OnConfirmation(
  const DocumentConfirmation& aConfirmation,
  bool aIsRelay,
  common::TimePoint aNow)
{
  DocumentConfirmation confirmation = aConfirmation;
  confirmation.confirmedAt_ = std::min(confirmation.confirmedAt_, aNow);
  if (confirmation.version_ < version_) {
    return {};
  }
  if (confirmation.version_ > version_) {
    const bool isRelay = aIsRelay || (pending_ && pending_->isRelay_);
    pending_ = SendConfirmation{ {}, isRelay, confirmation };
    return {};
  }
  Accept(confirmation);
  return aIsRelay ? ForwardToDomain(confirmation) : Confirmations{};
}

bool DocumentReaders::IsReader(common::TimePoint aNow)
{
  const common::Duration age = aNow - confirmedAt_;
  isTakingOver_ = age >= (isBackup_ ? settings_.backupTakeoverAge_ : takeoverAge_);
  return readerIndex_.has_value() || isTakingOver_;
}

void DocumentReaders::Accept(const DocumentConfirmation& aConfirmation)
{
  confirmedAt_ = std::max(confirmedAt_, aConfirmation.confirmedAt_);
  nextOffset_ = std::max(nextOffset_, aConfirmation.nextOffset_);
}

DocumentReaders::Confirmations DocumentReaders::ConfirmToAll(
  const DocumentConfirmation& aConfirmation) const
{
  Confirmations confirmations = ForwardToDomain(aConfirmation);
  for (const common::FailureDomain& domain : DomainsOf(members_)) {
    if (domain == self_.failureDomain_) {
      continue;
    }
    // The readers use different relays, so that one unresponsive relay cuts nobody off.
    const Members relays = InDomain(members_, domain);
    const Member& relay = relays[readerIndex_.value_or(0) % relays.size()];
    confirmations.push_back({ relay.address_, true, aConfirmation });
  }
  return confirmations;
}

DocumentReaders::Confirmations DocumentReaders::ForwardToDomain(
  const DocumentConfirmation& aConfirmation) const
{
  Confirmations confirmations;
  for (const Member& member : members_) {
    if (member.failureDomain_ == self_.failureDomain_ && member.instance_ != self_.instance_) {
      confirmations.push_back({ member.address_, false, aConfirmation });
    }
  }
  return confirmations;
}

} // namespace dandelionstand::peer
