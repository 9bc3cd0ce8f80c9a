#include "dandelionstand/quota/LeaseRound.h"

#include "dandelionstand/quota/LeaseVoter.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::quota {

LeaseRound::LeaseRound(LeaseQuery aQuery, Voters aVoters, common::TimePoint aAskedAt)
  : query_(std::move(aQuery))
  , voters_(std::move(aVoters))
  , askedAt_(aAskedAt)
  , voterCount_(voters_.Count())
{
}

bool LeaseRound::IsOpen(common::TimePoint aNow) const
{
  return aNow < askedAt_ + LeaseVoter::kVoteTimeout;
}

void LeaseRound::OnVote(const common::InstanceId& aVoter,
                        const common::Address& aAddress,
                        const LeaseVote& aVote,
                        common::TimePoint aNow)
{
  if (!IsOpen(aNow) || !voters_.instances_.contains(aVoter)) {
    return;
  }
  voterCount_ = std::max(voterCount_, aVote.voterCount_);
  if (!aVote.isGranted_) {
    return;
  }
  granted_.insert(aVoter);
  addresses_.insert(aAddress);
  quietFor_ = std::min(quietFor_, aVote.quietFor_);
  for (const LeasePromise& promise : aVote.promises_) {
    common::TimePoint& until = promisedUntil_[promise.holder_];
    until = std::max(until, aNow + promise.remaining_);
  }
}

common::TimePoint LeaseRound::PromisesEndAt() const
{
  common::TimePoint end = askedAt_;
  for (const auto& [holder, until] : promisedUntil_) {
    if (!addresses_.contains(holder)) {
      end = std::max(end, until);
    }
  }
  return end;
}

} // namespace dandelionstand::quota
