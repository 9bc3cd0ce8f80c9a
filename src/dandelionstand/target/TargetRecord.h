#ifndef dandelionstand_target_TargetRecord_h
#define dandelionstand_target_TargetRecord_h

#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>
#include <utility>

namespace dandelionstand::target {

//! The state of this daemon's target, derived from its announcements and from failed requests.
//!
//! Announcements may be delayed and reordered, including those of an earlier incarnation, and may
//! come from another writer. Only those of the instance's service that are newer by incarnation and
//! sequence number are applied. Start times order incarnations only while announcements of the
//! latest one arrive, since the clock of a target may be wrong. An incarnation that was
//! draining or gone never becomes ready again, also if this daemon restarts: then MarkWithdrawn
//! says what was announced before.
class TargetRecord
{
public:
  enum class ApplyResult
  {
    kApplied,
    kStale,   //!< Of an earlier incarnation, or older than the latest announcement.
    kForeign, //!< Of another service.
  };

  //! aService: the service of this instance's target. aSilenceTimeout: time without an announcement
  //! after which the target is not ready.
  TargetRecord(common::ServiceName aService, common::Duration aSilenceTimeout)
    : service_(std::move(aService))
    , silenceTimeout_(aSilenceTimeout)
  {
  }

  ApplyResult Apply(const TargetAnnouncement& aAnnouncement, common::TimePoint aNow);
  //! The target cannot be reached or another target has its address. It is not ready until its next
  //! announcement.
  void MarkUnreachable() { isReachable_ = false; }

  //! The target is leaving according to an answer of its own or to an earlier process of this
  //! daemon. Its announcements do not make it ready, whether they arrived before or arrive later.
  void MarkWithdrawn(const common::TargetIdentity& aTarget, common::TimePoint aNow);

  bool IsReady(common::TimePoint aNow) const;
  //! The latest announcement, or null before the first one. Never a leave.
  const TargetAnnouncement* Latest() const { return latest_ ? &*latest_ : nullptr; }
  //! The incarnation that was withdrawn last; nullopt if there is none.
  const std::optional<common::TargetIdentity>& Withdrawn() const { return withdrawn_; }
  //! Time since the latest announcement was applied.
  common::Duration Age(common::TimePoint aNow) const { return aNow - lastAnnouncedAt_; }

private:
  ApplyResult ApplyLeave(const TargetAnnouncement& aLeave, common::TimePoint aNow);
  //! Whether the announcement is of an incarnation before the latest or the withdrawn one.
  bool IsEarlierIncarnation(const TargetAnnouncement& aAnnouncement, common::TimePoint aNow) const;

  common::ServiceName service_;
  common::Duration silenceTimeout_;
  std::optional<TargetAnnouncement> latest_;
  std::optional<common::TargetIdentity> withdrawn_;
  common::TimePoint withdrawnAt_;
  common::TimePoint lastAnnouncedAt_;
  bool isReachable_ = true;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetRecord_h
