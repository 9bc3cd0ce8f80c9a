#include "dandelionstand/target/TargetRecord.h"

#include <algorithm>

namespace dandelionstand::target {

namespace {

//! Announcements arrive within this time.
constexpr common::Duration kMaxAnnouncementDelay = std::chrono::seconds(10);

//! Whether both are one incarnation. A start time of 0 is unknown and matches any.
bool IsSameIncarnation(const common::TargetIdentity& aLhs, const common::TargetIdentity& aRhs)
{
  const bool hasSameStartTime =
    aLhs.startedAtMs_ == aRhs.startedAtMs_ || aLhs.startedAtMs_ == 0 || aRhs.startedAtMs_ == 0;
  return aLhs.incarnationId_ == aRhs.incarnationId_ && hasSameStartTime;
}

bool StartedBefore(const common::TargetIdentity& aLhs, const common::TargetIdentity& aRhs)
{
  return aLhs.startedAtMs_ != 0 && aRhs.startedAtMs_ != 0 && aLhs.startedAtMs_ < aRhs.startedAtMs_;
}

} // namespace

const char* ToText(TargetPhase aPhase)
{
  switch (aPhase) {
    case TargetPhase::kReady:
      return "ready";
    case TargetPhase::kDraining:
      return "draining";
    case TargetPhase::kGone:
      return "gone";
  }
  return "unknown";
}

TargetRecord::ApplyResult TargetRecord::Apply(const TargetAnnouncement& aAnnouncement,
                                              common::TimePoint aNow)
{
  if (aAnnouncement.phase_ == TargetPhase::kGone) {
    return ApplyLeave(aAnnouncement, aNow);
  }
  if (aAnnouncement.service_ != service_) {
    return ApplyResult::kForeign;
  }
  const common::TargetIdentity identity = aAnnouncement.Identity();
  const bool isSame = latest_ && IsSameIncarnation(identity, latest_->Identity());
  const bool isOutdated = isSame && aAnnouncement.sequence_ <= latest_->sequence_;
  if (isOutdated || IsEarlierIncarnation(aAnnouncement, aNow)) {
    return ApplyResult::kStale;
  }
  const TargetPhase previousPhase = isSame ? latest_->phase_ : TargetPhase::kReady;
  latest_ = aAnnouncement;
  latest_->phase_ = std::max(previousPhase, aAnnouncement.phase_);
  lastAnnouncedAt_ = aNow;
  isReachable_ = true;
  const bool isWithdrawn = withdrawn_ && IsSameIncarnation(identity, *withdrawn_);
  if (isWithdrawn || latest_->phase_ != TargetPhase::kReady) {
    MarkWithdrawn(identity, aNow);
  }
  return ApplyResult::kApplied;
}

TargetRecord::ApplyResult TargetRecord::ApplyLeave(const TargetAnnouncement& aLeave,
                                                   common::TimePoint aNow)
{
  // A leave has no sequence number; it is final in whatever order it arrives.
  if (latest_ && IsSameIncarnation(aLeave.Identity(), latest_->Identity())) {
    MarkWithdrawn(latest_->Identity(), aNow);
    latest_->phase_ = TargetPhase::kGone;
    return ApplyResult::kApplied;
  }
  if (latest_ && !StartedBefore(latest_->Identity(), aLeave.Identity())) {
    return ApplyResult::kStale;
  }
  // The announcements of that incarnation may still be on their way.
  MarkWithdrawn(aLeave.Identity(), aNow);
  return ApplyResult::kApplied;
}

bool TargetRecord::IsEarlierIncarnation(const TargetAnnouncement& aAnnouncement,
                                        common::TimePoint aNow) const
{
  const common::TargetIdentity identity = aAnnouncement.Identity();
  const bool isBeforeLatest = latest_ && StartedBefore(identity, latest_->Identity()) &&
                              aNow - lastAnnouncedAt_ < kMaxAnnouncementDelay;
  const bool isBeforeWithdrawn =
    withdrawn_ && identity.incarnationId_ == withdrawn_->incarnationId_ &&
    StartedBefore(identity, *withdrawn_) && aNow - withdrawnAt_ < kMaxAnnouncementDelay;
  return isBeforeLatest || isBeforeWithdrawn;
}

void TargetRecord::MarkWithdrawn(const common::TargetIdentity& aTarget, common::TimePoint aNow)
{
  if (withdrawn_ != aTarget) {
    withdrawnAt_ = aNow;
  }
  withdrawn_ = aTarget;
  if (latest_ && IsSameIncarnation(latest_->Identity(), aTarget)) {
    latest_->phase_ = std::max(latest_->phase_, TargetPhase::kDraining);
  }
}

bool TargetRecord::IsReady(common::TimePoint aNow) const
{
  return latest_ && latest_->phase_ == TargetPhase::kReady && isReachable_ &&
         Age(aNow) < silenceTimeout_;
}

} // namespace dandelionstand::target
