#include "dandelionstand/config/SnapshotPolicy.h"

namespace dandelionstand::config {

namespace {

//! A snapshot in the oldest 1/kExpiringShare of the log's records is about to expire.
constexpr std::uint64_t kExpiringShare = 4;

} // namespace

SnapshotPolicy::SnapshotPolicy(SnapshotSettings aSettings, std::uint64_t aSeed)
  : settings_(aSettings)
  , random_(aSeed)
{
}

bool SnapshotPolicy::ShouldAppend(common::TimePoint aNow, const SnapshotPolicyInput& aInput)
{
  if (!hasStarted_ || aInput.snapshotOffset_ != lastSnapshotOffset_) {
    hasStarted_ = true;
    lastSnapshotOffset_ = aInput.snapshotOffset_;
    snapshotSeenAt_ = aNow;
    isWaiting_ = false;
  }
  if (!IsNeeded(aNow, aInput)) {
    isWaiting_ = false;
    return false;
  }
  if (!isWaiting_) {
    std::uniform_int_distribution<common::Duration::rep> jitter(0, settings_.delayPerRank_.count());
    isWaiting_ = true;
    appendAt_ = aNow + settings_.delayPerRank_ * aInput.rank_ + common::Duration(jitter(random_));
  }
  if (aNow < appendAt_) {
    return false;
  }
  // If no new snapshot appears, for example because the append failed, a new wait starts.
  isWaiting_ = false;
  return true;
}

bool SnapshotPolicy::IsNeeded(common::TimePoint aNow, const SnapshotPolicyInput& aInput) const
{
  const bool isBehind = aInput.version_ < aInput.knownVersion_ || aInput.hasGap_;
  const bool isAtTail = aInput.appliedOffset_.Get() + 1 >= aInput.logNext_.Get();
  if (aInput.version_ == common::Version(0) || isBehind || !isAtTail) {
    return false;
  }
  const bool isSnapshotRetained =
    aInput.snapshotOffset_.Get() != 0 && aInput.snapshotOffset_ >= aInput.logFirst_;
  if (!isSnapshotRetained) {
    return aInput.logFirst_.Get() > 1 ||
           aInput.appliedOffset_.Get() >= settings_.maxRecordsSinceSnapshot_ ||
           aNow - snapshotSeenAt_ >= settings_.maxSnapshotAge_;
  }
  const std::uint64_t retainedRecords = aInput.logNext_.Get() - aInput.logFirst_.Get();
  const bool isAboutToExpire =
    aInput.logFirst_.Get() > 1 &&
    aInput.snapshotOffset_.Get() - aInput.logFirst_.Get() < retainedRecords / kExpiringShare;
  const std::uint64_t recordsSince = aInput.appliedOffset_.Get() - aInput.snapshotOffset_.Get();
  return isAboutToExpire || recordsSince >= settings_.maxRecordsSinceSnapshot_ ||
         aNow - snapshotSeenAt_ >= settings_.maxSnapshotAge_;
}

} // namespace dandelionstand::config
