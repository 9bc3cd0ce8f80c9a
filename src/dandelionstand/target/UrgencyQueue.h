#ifndef dandelionstand_target_UrgencyQueue_h
#define dandelionstand_target_UrgencyQueue_h

#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/ServiceTime.h"
#include "dandelionstand/target/StartPacer.h"

#include <map>

namespace dandelionstand::target {

//! Gives priority to work that can still meet its latency objective, ordered by rank.
//!
//! Designed for overloads that last seconds (a burst, lost endpoints, slow endpoints). A queue in
//! order of arrival then makes every answer miss its objective, because each slot is given to work
//! whose objective expired while it was queued. Here a free slot is given to the work of the
//! highest priority that can still meet its objective. Overdue work, which can no longer meet it,
//! is refused at once, so that another endpoint is tried. It is queued only if there is no other
//! endpoint, and gets the slots for which no other work is queued.
class UrgencyQueue : public AdmissionQueue
{
public:
  SlotActions SetLimits(std::uint32_t aSlots,
                        std::uint32_t aQueueLength,
                        common::TimePoint aNow) override;
  SlotActions SetMaxStartRate(std::optional<double> aStartsPerSecond,
                              common::TimePoint aNow) override;
  SlotActions MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration) override;
  SlotActions MarkNotReady(common::TimePoint aNow) override;
  SlotActions MarkDraining(common::TimePoint aNow) override;
  std::optional<RefusalReason> PredictRefusal(const Work& aWork,
                                              common::TimePoint aOfferedAt,
                                              common::TimePoint aNow) const override;
  SlotActions Offer(const Work& aWork, common::TimePoint aNow) override;
  SlotActions OnWorkFinished(const AttemptKey& aKey,
                             WorkOutcome aOutcome,
                             common::TimePoint aNow) override;
  SlotActions Tick(common::TimePoint aNow) override;

  std::size_t RunningCount() const override { return running_.size(); }
  std::size_t QueuedCount() const override { return queued_.size(); }
  common::Duration MeanServiceTime(const std::string& aRoute) const override;
  std::uint32_t UsableSlots(common::TimePoint aNow) const override;

private:
  struct RunningWork
  {
    std::string route_;
    common::TimePoint startedAt_;
  };

  bool MeetsObjective(const Work& aWork, common::TimePoint aStart) const;
  bool HasPriorityOver(const Work& aLhs, const Work& aRhs, common::TimePoint aNow) const;
  bool CanStart(common::TimePoint aNow) const;
  common::Duration EstimatedWait(const Work& aWork, common::TimePoint aNow) const;
  bool HasRoomForOverdue(const Work& aWork, common::TimePoint aNow) const;
  void Start(const Work& aWork, common::TimePoint aNow, SlotActions& aActions);
  void StartQueued(common::TimePoint aNow, SlotActions& aActions);
  void ShedUnservable(common::TimePoint aNow, SlotActions& aActions);
  void RefuseAllQueued(RefusalReason aReason, SlotActions& aActions);
  void RecordStart(bool aIsOverdue, common::TimePoint aNow);

  std::uint32_t slots_ = 1;
  StartPacer pacer_;
  bool isReady_ = false;
  bool isDraining_ = false;
  std::vector<Work> queued_;
  std::map<AttemptKey, RunningWork> running_;
  std::map<std::string, ServiceTime> routeTimes_; //!< Service times by route.
  ServiceTime overallTime_;                       //!< Service time over all routes.
  //! Moving average of the share of starts that are overdue or leave a slot free.
  double overdueShare_ = 1.0;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_UrgencyQueue_h
