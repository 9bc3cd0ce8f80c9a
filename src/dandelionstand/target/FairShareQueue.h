#ifndef dandelionstand_target_FairShareQueue_h
#define dandelionstand_target_FairShareQueue_h

#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/ServiceTime.h"

#include <array>
#include <cstdint>
#include <map>

namespace dandelionstand::target {

//! Settings of a FairShareQueue; slots and queue length come from the service's limits.
struct FairShareSettings
{
  std::uint32_t slots_ = 8;
  std::uint32_t queueLength_ = 16;
  //! A target that became ready takes a growing share of its slots for this long.
  common::Duration coldStartDuration_ = std::chrono::seconds(5);
  //! QueuedCount work may still start for this long after the drain began.
  common::Duration drainQueuePeriod_ = std::chrono::seconds(1);
};

//! Decides which requests run on a target's slots, which wait, and which are refused.
//!
//! A free slot goes to the queued class with the least running work for its share, and within the
//! class to the request with the least time left that can still make it.
class FairShareQueue : public AdmissionQueue
{
public:
  explicit FairShareQueue(FairShareSettings aSettings);

  //! Takes new limits; running work above a lower count of slots finishes.
  SlotActions SetLimits(std::uint32_t aSlots,
                        std::uint32_t aQueueLength,
                        common::TimePoint aNow) override;

  //! The target can take work; a first announcement starts the cold-start ramp.
  SlotActions MarkReady(common::TimePoint aNow);
  SlotActions MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration) override;
  //! The target is gone: queued work is refused; running work is ended by its own result.
  SlotActions MarkNotReady(common::TimePoint aNow) override;
  //! No new work is accepted. Waiting work may start until the drain's queue time is over.
  SlotActions MarkDraining(common::TimePoint aNow) override;

  SlotActions Offer(const Work& aWork, common::TimePoint aNow) override;
  SlotActions OnWorkFinished(const AttemptKey& aKey,
                             WorkOutcome aOutcome,
                             common::TimePoint aNow) override;
  //! Removes queued work without an action. False if aKey is not queued.
  bool Cancel(const AttemptKey& aKey);
  //! Sheds what became hopeless and lets the cold-start ramp go on; called a few times a second.
  SlotActions Tick(common::TimePoint aNow) override;

  std::size_t RunningCount() const override { return running_.size(); }
  std::size_t QueuedCount() const override;
  common::Duration MeanServiceTime(const std::string&) const override { return {}; }
  //! Slots that may be used at present, after the cold-start ramp.
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

  //! Waiting work of one class by deadline, and what its running work tells.
  struct ClassQueue
  {
    std::multimap<common::TimePoint, AttemptKey> queued_;
    std::size_t running_ = 0;
    ServiceTime serviceTime_;
  };

  ClassQueue& Class(config::TrafficClass aClass);
  const ClassQueue& Class(config::TrafficClass aClass) const;
  std::uint32_t MaxSlotsOf(std::size_t aClass, common::TimePoint aNow) const;
  std::uint32_t SlotShare(std::size_t aClass, common::TimePoint aNow) const;
  bool IsUnservable(const Work& aWork, common::TimePoint aNow) const;
  void ShedUnservable(common::TimePoint aNow, SlotActions& aActions);
  void RefuseAllQueued(RefusalReason aReason, SlotActions& aActions);
  bool EvictFor(const Work& aWork, SlotActions& aActions);
  void StartQueued(common::TimePoint aNow, SlotActions& aActions);
  std::size_t NextClass(common::TimePoint aNow) const;

  FairShareSettings settings_;
  std::array<ClassQueue, kClassCount> classes_;
  std::map<AttemptKey, RunningWork> running_;
  bool isReady_ = false;
  bool isDraining_ = false;
  common::TimePoint readyAt_;
  common::TimePoint drainStartedAt_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_FairShareQueue_h
