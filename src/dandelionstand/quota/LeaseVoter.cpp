#include "dandelionstand/quota/LeaseVoter.h"

#include <algorithm>

namespace dandelionstand::quota {

LeaseVote LeaseVoter::Vote(const common::Address& aHolder,
                           const LeaseQuery& aQuery,
                           common::TimePoint aNow)
{
  LeaseVote vote{ .sequence_ = aQuery.sequence_ };
  if (aQuery.isTakeover_) {
    vote.isGranted_ = GrantTakeover(aQuery, aNow);
    vote.promises_ = PromisesExcept(aHolder, aNow);
    if (vote.isGranted_) {
      vote.quietFor_ = QuietFor(aQuery, aNow);
    }
  } else {
    vote.isGranted_ = Support(aHolder, aQuery, aNow);
  }
  return vote;
}

bool LeaseVoter::Support(const common::Address& aHolder,
                         const LeaseQuery& aQuery,
                         common::TimePoint aNow)
{
  // An earlier run of this daemon may have granted a takeover. By then, all votes of that takeover
  // are given and the lease of the holder, if it had no majority since, has ended.
  if (aNow < startedAt_ + kPromiseLifetime + kVoteTimeout) {
    return false;
  }
  if (HasLaterTakeover(aQuery)) {
    return false;
  }
  promisedUntil_[aHolder] = aNow + kPromiseLifetime;
  return true;
}

bool LeaseVoter::GrantTakeover(const LeaseQuery& aQuery, common::TimePoint aNow)
{
  if (HasLaterTakeover(aQuery)) {
    return false;
  }
  for (const std::uint32_t partition : aQuery.partitions_) {
    Takeover& last = takeovers_[partition];
    // Of the same generation is a repeated query.
    if (last.generation_ < aQuery.generation_) {
      last = { aQuery.generation_, aNow, last.grantedAt_ };
    }
  }
  return true;
}

bool LeaseVoter::HasLaterTakeover(const LeaseQuery& aQuery) const
{
  return std::ranges::any_of(aQuery.partitions_, [&](std::uint32_t aPartition) {
    const auto found = takeovers_.find(aPartition);
    return found != takeovers_.end() && found->second.generation_ > aQuery.generation_;
  });
}

common::Duration LeaseVoter::QuietFor(const LeaseQuery& aQuery, common::TimePoint aNow) const
{
  common::TimePoint since = startedAt_;
  for (const std::uint32_t partition : aQuery.partitions_) {
    since = std::max(since, takeovers_.at(partition).previousAt_);
  }
  return aNow - since;
}

std::vector<LeasePromise> LeaseVoter::PromisesExcept(const common::Address& aHolder,
                                                     common::TimePoint aNow) const
{
  std::vector<LeasePromise> promises;
  for (const auto& [holder, until] : promisedUntil_) {
    if (holder != aHolder && until > aNow) {
      promises.push_back({ holder, until - aNow });
    }
  }
  const common::TimePoint earlierRunUntil = startedAt_ + kPromiseLifetime;
  if (aNow < earlierRunUntil) {
    promises.push_back({ {}, earlierRunUntil - aNow });
  }
  return promises;
}

} // namespace dandelionstand::quota
