#include "dandelionstand/config/SnapshotPolicy.h"

namespace dandelionstand::config {

namespace {

//! A snapshot in the oldest of this many parts of the kept records is about to be dropped.
constexpr std::uint64_t kSafeShare = 4;

} // namespace

SnapshotPolicy::SnapshotPolicy(SnapshotSettings aSettings, std::uint64_t aSeed)
  : settings_(aSettings)
  , random_(aSeed)
{
}

bool SnapshotPolicy::ShouldAppend(common::TimePoint aNow, const SnapshotPolicyInput& aView)
{
  if (!hasStarted_ || aView.snapshotOffset_ != lastOffset_) {
    hasStarted_ = true;
    lastOffset_ = aView.snapshotOffset_;
    lastSeen_ = aNow;
    isWaiting_ = false;
  }
  if (!IsNeeded(aNow, aView)) {
    isWaiting_ = false;
    return false;
  }
  if (!isWaiting_) {
    std::uniform_int_distribution<common::Duration::rep> jitter(0, settings_.rankDelay_.count());
    isWaiting_ = true;
    due_ = aNow + settings_.rankDelay_ * aView.rank_ + common::Duration(jitter(random_));
  }
  if (aNow < due_) {
    return false;
  }
  isWaiting_ = false;
  // An own append that stays without effect is tried again after a new wait.
  return true;
}

bool SnapshotPolicy::IsNeeded(common::TimePoint aNow, const SnapshotPolicyInput& aView) const
{
  const bool isBehind = aView.version_ < aView.knownVersion_ || aView.hasGap_;
  const bool isAtTail = aView.appliedOffset_.Get() + 1 >= aView.logNext_.Get();
  if (aView.version_ == common::Version(0) || isBehind || !isAtTail) {
    return false;
  }
  const bool isInLog = aView.snapshotOffset_.Get() != 0 && aView.snapshotOffset_ >= aView.logFirst_;
  if (!isInLog) {
    return aView.logFirst_.Get() > 1 || aView.appliedOffset_.Get() >= settings_.records_ ||
           aNow - lastSeen_ >= settings_.interval_;
  }
  const std::uint64_t kept = aView.logNext_.Get() - aView.logFirst_.Get();
  const bool isSoonDropped =
    aView.logFirst_.Get() > 1 &&
    aView.snapshotOffset_.Get() - aView.logFirst_.Get() < kept / kSafeShare;
  const std::uint64_t recordsSince = aView.appliedOffset_.Get() - aView.snapshotOffset_.Get();
  return isSoonDropped || recordsSince >= settings_.records_ ||
         aNow - lastSeen_ >= settings_.interval_;
}

} // namespace dandelionstand::config
