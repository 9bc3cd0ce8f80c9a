#ifndef dandelionstand_target_TargetRecord_h
#define dandelionstand_target_TargetRecord_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>

namespace dandelionstand::target {

//! What is known of the target beside the daemon, from its announcements and from requests.
//!
//! Announcements may arrive late and out of order, also those of an earlier start, so each is
//! ordered by start and sequence before it changes anything. A start that was draining or gone
//! never becomes ready again.
class TargetRecord
{
public:
  enum class Verdict
  {
    kApplied,
    kStale, //!< Of an earlier start, or older than what is known.
  };

  //! aSilence: time without an announcement after which the target counts as lost.
  explicit TargetRecord(common::Duration aSilence)
    : silence_(aSilence)
  {
  }

  Verdict Apply(const TargetAnnouncement& aNews, common::TimePoint aNow);
  //! The target cannot be reached, or another one has its address: not ready until it is heard
  //! again.
  void MarkUnreachable() { isReachable_ = false; }

  bool IsReady(common::TimePoint aNow) const;
  //! Null before the first announcement.
  const TargetAnnouncement* Known() const { return known_ ? &*known_ : nullptr; }
  common::Duration Age(common::TimePoint aNow) const { return aNow - heardAt_; }

private:
  common::Duration silence_;
  std::optional<TargetAnnouncement> known_;
  common::TimePoint heardAt_;
  bool isReachable_ = true;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetRecord_h
