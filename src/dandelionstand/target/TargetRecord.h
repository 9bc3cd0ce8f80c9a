#ifndef dandelionstand_target_TargetRecord_h
#define dandelionstand_target_TargetRecord_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>

namespace dandelionstand::target {

//! What is latest of the target beside the daemon, from its announcements and from requests.
//!
//! Announcements may arrive late and out of order, also those of an earlier start, so each is
//! ordered by start and sequence before it changes anything. A start that was draining or gone
//! never becomes ready again.
class TargetRecord
{
public:
  enum class ApplyResult
  {
    kApplied,
    kStale, //!< Of an earlier start, or older than what is latest.
  };

  //! aSilenceTimeout: time without an announcement after which the target counts as lost.
  explicit TargetRecord(common::Duration aSilenceTimeout)
    : silenceTimeout_(aSilenceTimeout)
  {
  }

  ApplyResult Apply(const TargetAnnouncement& aAnnouncement, common::TimePoint aNow);
  //! The target cannot be reached, or another one has its address: not ready until it is heard
  //! again.
  void MarkUnreachable() { isReachable_ = false; }

  bool IsReady(common::TimePoint aNow) const;
  //! Null before the first announcement.
  const TargetAnnouncement* Latest() const { return latest_ ? &*latest_ : nullptr; }
  common::Duration Age(common::TimePoint aNow) const { return aNow - lastAnnouncedAt_; }

private:
  common::Duration silenceTimeout_;
  std::optional<TargetAnnouncement> latest_;
  common::TimePoint lastAnnouncedAt_;
  bool isReachable_ = true;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetRecord_h
