#include "dandelionstand/quota/LeaseNegotiation.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::quota {

LeaseNegotiation::LeaseNegotiation(GrantorLease& aLease, std::uint64_t aSequence)
  : lease_(aLease)
  , sequence_(aSequence)
{
}

void LeaseNegotiation::SetOtherOwners(std::uint64_t aGeneration, std::set<common::Address> aOwners)
{
  ownersGeneration_ = aGeneration;
  otherOwners_ = std::move(aOwners);
}

std::vector<LeaseQuery> LeaseNegotiation::Tick(common::TimePoint aNow)
{
  ConfirmReleased(aNow);
  std::vector<LeaseQuery> queries;
  const bool isExtending = extension_ && extension_->IsOpen(aNow);
  if (lease_.NeedsVotes(aNow) && !isExtending) {
    isExtensionCounted_ = false;
    queries.push_back(Begin(extension_, { .partitions_ = lease_.Held(aNow) }, aNow));
  }
  const bool isTakingOver = takeover_ && takeover_->IsOpen(aNow);
  if (!isTakingOver && HasUncovered()) {
    LeaseQuery query{ .isTakeover_ = true };
    for (const auto& [partition, assignedAt] : lease_.Unconfirmed()) {
      query.partitions_.push_back(partition);
    }
    queries.push_back(Begin(takeover_, std::move(query), aNow));
  }
  return queries;
}

const LeaseQuery& LeaseNegotiation::Begin(std::optional<LeaseRound>& aRound,
                                          LeaseQuery aQuery,
                                          common::TimePoint aNow)
{
  aQuery.sequence_ = ++sequence_;
  aQuery.generation_ = lease_.Generation();
  aRound.emplace(std::move(aQuery), voters_, aNow);
  return aRound->Query();
}

void LeaseNegotiation::OnVote(const common::InstanceId& aVoter,
                              const common::Address& aAddress,
                              const LeaseVote& aVote,
                              common::TimePoint aNow)
{
  if (extension_ && extension_->Query().sequence_ == aVote.sequence_) {
    extension_->OnVote(aVoter, aAddress, aVote, aNow);
    if (extension_->HasMajority()) {
      outcomes_.extensions_ += std::exchange(isExtensionCounted_, true) ? 0 : 1;
      lease_.Extend(extension_->AskedAt(), extension_->IsUnanimous(), aNow);
    }
  } else if (takeover_ && takeover_->Query().sequence_ == aVote.sequence_) {
    takeover_->OnVote(aVoter, aAddress, aVote, aNow);
    ConfirmReleased(aNow);
  }
}

void LeaseNegotiation::ConfirmReleased(common::TimePoint aNow)
{
  for (const auto& [partition, assignedAt] : lease_.Unconfirmed()) {
    const bool isByVotes = IsGranted(partition, assignedAt) && aNow >= ReleasedAt(assignedAt);
    const bool isByTime = aNow >= assignedAt + GrantorLease::kMaxExtension;
    if (isByVotes || isByTime) {
      lease_.Confirm(partition, isByVotes ? takeover_->QuietFor() : common::Duration(0), aNow);
      ++(isByVotes ? outcomes_.takenOverByVotes_ : outcomes_.takenOverByTime_);
    }
  }
}

bool LeaseNegotiation::HasUncovered() const
{
  return std::ranges::any_of(lease_.Unconfirmed(), [this](const auto& aEntry) {
    return !IsGranted(aEntry.first, aEntry.second);
  });
}

bool LeaseNegotiation::IsGranted(std::uint32_t aPartition, common::TimePoint aAssignedAt) const
{
  return takeover_ && takeover_->HasMajority() && takeover_->AskedAt() >= aAssignedAt &&
         std::ranges::count(takeover_->Query().partitions_, aPartition) > 0;
}

common::TimePoint LeaseNegotiation::ReleasedAt(common::TimePoint aAssignedAt) const
{
  const bool isReleasedByOwners =
    ownersGeneration_ >= takeover_->Query().generation_ &&
    std::ranges::all_of(otherOwners_, [this](const common::Address& aOwner) {
      return takeover_->HasGranted(aOwner);
    });
  const common::TimePoint ownersEnd =
    isReleasedByOwners ? aAssignedAt : aAssignedAt + GrantorLease::kTimeToLive;
  return std::max(takeover_->PromisesEndAt(), ownersEnd);
}

} // namespace dandelionstand::quota
