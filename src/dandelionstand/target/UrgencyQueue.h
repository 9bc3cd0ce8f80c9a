#ifndef dandelionstand_target_UrgencyQueue_h
#define dandelionstand_target_UrgencyQueue_h

#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/ServiceTime.h"

#include <map>

namespace dandelionstand::target {

//! Admits what can still be answered within its latency objective, by rank.
//!
//! Answers the load pattern of a service with too little capacity for seconds on end (a burst, lost
//! endpoints, slow ones). A queue in order of arrival then makes every answer late: each slot is
//! given to work that has waited its objective away. Here a free slot goes to the best-ranked work
//! that can still be in time; work that would be late is refused at once, so that another endpoint
//! is tried, and waits only where no other is left, for slots that nothing in time wants.
class UrgencyQueue : public AdmissionQueue
{
public:
  SlotActions SetLimits(std::uint32_t aSlots,
                        std::uint32_t aQueueLength,
                        common::TimePoint aNow) override;
  SlotActions Ready(common::TimePoint aNow, common::Duration aRampUp) override;
  SlotActions NotReady(common::TimePoint aNow) override;
  SlotActions Drain(common::TimePoint aNow) override;
  SlotActions Offer(const Work& aWork, common::TimePoint aNow) override;
  SlotActions Finished(const AttemptKey& aKey, WorkEnd aEnd, common::TimePoint aNow) override;
  SlotActions Tick(common::TimePoint aNow) override;

  std::size_t Running() const override { return running_.size(); }
  std::size_t Queued() const override { return waiting_.size(); }
  common::Duration TimeOf(const std::string& aRoute) const override;
  std::uint32_t SlotsNow(common::TimePoint aNow) const override;

private:
  struct RunningWork
  {
    std::string route_;
    common::TimePoint since_;
  };

  bool IsInTime(const Work& aWork, common::TimePoint aStart) const;
  bool GoesBefore(const Work& aLeft, const Work& aRight, common::TimePoint aNow) const;
  common::Duration WaitOf(const Work& aWork, common::TimePoint aNow) const;
  bool HasRoomForLate(const Work& aWork, common::TimePoint aNow) const;
  void Start(const Work& aWork, common::TimePoint aNow, SlotActions& aActions);
  void StartWaiting(common::TimePoint aNow, SlotActions& aActions);
  void ShedHopeless(common::TimePoint aNow, SlotActions& aActions);
  void RefuseAllWaiting(RefuseReason aReason, SlotActions& aActions);
  void NoteLateStart(bool aIsLate, common::TimePoint aNow);

  std::uint32_t slots_ = 1;
  bool isReady_ = false;
  bool isDraining_ = false;
  std::vector<Work> waiting_;
  std::map<AttemptKey, RunningWork> running_;
  std::map<std::string, ServiceTime> times_; //!< By route.
  ServiceTime anyTime_;                      //!< Over all routes.
  double lateShare_ = 1.0;                   //!< Of late starts, a moving average.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_UrgencyQueue_h
