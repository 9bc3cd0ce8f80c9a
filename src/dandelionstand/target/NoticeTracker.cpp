#include "dandelionstand/target/NoticeTracker.h"

namespace dandelionstand::target {

void NoticeTracker::SetTarget(const common::TargetIdentity& aTarget)
{
  if (aTarget != target_) {
    *this = NoticeTracker();
    target_ = aTarget;
  }
}

void NoticeTracker::OnAnswer(const common::TargetIdentity& aTarget,
                             const dialect::TargetNotice& aNotice,
                             common::TimePoint aSentAt,
                             common::TimePoint aNow)
{
  if (aTarget != target_) {
    return;
  }
  isConfirmed_ = true;
  current_.isLeaving_ = current_.isLeaving_ || aNotice.isLeaving_;
  if (aNotice.maxRequestsPerSecond_) {
    current_.maxRequestsPerSecond_ = aNotice.maxRequestsPerSecond_;
    limitNamedAt_ = aNow;
  } else if (!aNotice.hasInvalidLimit_ && aSentAt >= limitNamedAt_) {
    current_.maxRequestsPerSecond_.reset();
  }
}

void NoticeTracker::OnRemembered(const common::TargetIdentity& aTarget,
                                 const dialect::TargetNotice& aNotice)
{
  if (aTarget != target_) {
    return;
  }
  current_.isLeaving_ = current_.isLeaving_ || aNotice.isLeaving_;
  if (!isConfirmed_ && aNotice.maxRequestsPerSecond_) {
    current_.maxRequestsPerSecond_ = aNotice.maxRequestsPerSecond_;
  }
}

} // namespace dandelionstand::target
