#ifndef dandelionstand_target_FairShareQueue_h
#define dandelionstand_target_FairShareQueue_h

#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/ServiceTime.h"
#include "dandelionstand/target/StartPacer.h"

#include <array>
#include <cstdint>
#include <map>

namespace dandelionstand::target {

//! Settings of a FairShareQueue. SetLimits() replaces slots and queue length by the service's
//! limits.
struct FairShareSettings
{
  std::uint32_t slots_ = 8;
  std::uint32_t queueLength_ = 16;
  //! Time over which the usable slots grow to the full number after the target becomes ready.
  common::Duration coldStartDuration_ = std::chrono::seconds(5);
  //! Time after the start of a drain during which queued work may still start.
  common::Duration drainQueuePeriod_ = std::chrono::seconds(1);
};

//! Divides a target's slots and queue between the traffic classes by fixed shares.
//!
//! A free slot is given to the class with queued work that has the least running work in proportion
//! to its share, and within the class to the work with the earliest deadline that can still be met.
class FairShareQueue : public AdmissionQueue
{
public:
  explicit FairShareQueue(FairShareSettings aSettings);

  SlotActions SetLimits(std::uint32_t aSlots,
                        std::uint32_t aQueueLength,
                        common::TimePoint aNow) override;
  SlotActions SetMaxStartRate(std::optional<double> aStartsPerSecond,
                              common::TimePoint aNow) override;

  //! The target accepts work. Starts the cold-start ramp unless the target was ready already.
  SlotActions MarkReady(common::TimePoint aNow);
  SlotActions MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration) override;
  SlotActions MarkNotReady(common::TimePoint aNow) override;
  //! Refuses new work. Queued work may start during the drain queue period.
  SlotActions MarkDraining(common::TimePoint aNow) override;

  SlotActions Offer(const Work& aWork, common::TimePoint aNow) override;
  SlotActions OnWorkFinished(const AttemptKey& aKey,
                             WorkOutcome aOutcome,
                             common::TimePoint aNow) override;
  //! Removes queued work without an action. Returns false if aKey is not queued.
  bool Cancel(const AttemptKey& aKey);
  //! Refuses queued work that can no longer meet its deadline, and starts work in the slots that
  //! the cold-start ramp has added.
  SlotActions Tick(common::TimePoint aNow) override;

  std::size_t RunningCount() const override { return running_.size(); }
  std::size_t QueuedCount() const override;
  common::Duration MeanServiceTime(const std::string&) const override { return {}; }
  //! Number of slots that may be used at present, as limited by the cold-start ramp.
  std::uint32_t UsableSlots(common::TimePoint aNow) const override;
  std::uint32_t Slots() const { return settings_.slots_; }
  bool IsDraining() const { return isDraining_; }
  bool IsReady() const { return isReady_; }
  bool IsIdle() const { return running_.empty() && QueuedCount() == 0; }

private:
  static constexpr std::size_t kClassCount = 4;

  struct RunningWork
  {
    config::TrafficClass trafficClass_;
    common::TimePoint startedAt_;
  };

  //! Queued work of one class by deadline, and the service time estimated from finished work.
  struct ClassQueue
  {
    std::multimap<common::TimePoint, AttemptKey> queued_;
    std::size_t running_ = 0;
    ServiceTime serviceTime_;
  };

  ClassQueue& QueueOf(config::TrafficClass aClass);
  const ClassQueue& QueueOf(config::TrafficClass aClass) const;
  std::uint32_t MaxSlotsOf(std::size_t aClassIndex, common::TimePoint aNow) const;
  std::uint32_t SlotShare(std::size_t aClassIndex, common::TimePoint aNow) const;
  bool IsUnservable(const Work& aWork, common::TimePoint aNow) const;
  void ShedUnservable(common::TimePoint aNow, SlotActions& aActions);
  void RefuseAllQueued(RefusalReason aReason, SlotActions& aActions);
  bool EvictFor(const Work& aWork, SlotActions& aActions);
  void StartQueued(common::TimePoint aNow, SlotActions& aActions);
  std::size_t NextClass(common::TimePoint aNow) const;

  FairShareSettings settings_;
  StartPacer pacer_;
  std::array<ClassQueue, kClassCount> classes_;
  std::map<AttemptKey, RunningWork> running_;
  bool isReady_ = false;
  bool isDraining_ = false;
  common::TimePoint readyAt_;
  common::TimePoint drainStartedAt_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_FairShareQueue_h
