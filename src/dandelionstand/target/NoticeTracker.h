#ifndef dandelionstand_target_NoticeTracker_h
#define dandelionstand_target_NoticeTracker_h

#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/dialect/TargetNotice.h"

namespace dandelionstand::target {

//! Derives what the target currently states about itself from its answers and, after a restart of
//! this daemon, from what the daemons of callers remember of its earlier answers.
//!
//! A limit ends with an answer that does not name it. Answers to requests that were sent before the
//! limit was last named may have been written before it, so they do not end it. That the target is
//! leaving is final for its incarnation.
class NoticeTracker
{
public:
  //! Starts over if aTarget differs from the current target.
  void SetTarget(const common::TargetIdentity& aTarget);
  const common::TargetIdentity& Target() const { return target_; }

  //! Applies a notice of an answer whose request was sent at aSentAt. Ignored for another target.
  void OnAnswer(const common::TargetIdentity& aTarget,
                const dialect::TargetNotice& aNotice,
                common::TimePoint aSentAt,
                common::TimePoint aNow);
  //! Applies what another daemon remembers. A limit is ignored once the target has answered to this
  //! daemon, whose knowledge is then newer.
  void OnRemembered(const common::TargetIdentity& aTarget, const dialect::TargetNotice& aNotice);

  const dialect::TargetNotice& Current() const { return current_; }
  //! Whether the target has answered to this daemon.
  bool IsConfirmed() const { return isConfirmed_; }

private:
  common::TargetIdentity target_;
  dialect::TargetNotice current_;
  common::TimePoint limitNamedAt_;
  bool isConfirmed_ = false;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_NoticeTracker_h
