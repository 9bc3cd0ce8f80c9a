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
  common::Duration coldStart_ = std::chrono::seconds(5);
  //! Queued work may still start for this long after the drain began.
  common::Duration drainQueue_ = std::chrono::seconds(1);
};

//! Decides which requests run on a target's slots, which wait, and which are refused.
//!
//! A free slot goes to the waiting class with the least running work for its share, and within the
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
  SlotActions Ready(common::TimePoint aNow);
  SlotActions Ready(common::TimePoint aNow, common::Duration aRampUp) override;
  //! The target is gone: waiting work is refused; running work is ended by its own result.
  SlotActions NotReady(common::TimePoint aNow) override;
  //! No new work is accepted. Waiting work may start until the drain's queue time is over.
  SlotActions Drain(common::TimePoint aNow) override;

  SlotActions Offer(const Work& aWork, common::TimePoint aNow) override;
  SlotActions Finished(const AttemptKey& aKey, WorkEnd aEnd, common::TimePoint aNow) override;
  //! Removes waiting work without an action. False if aKey is not waiting.
  bool Cancel(const AttemptKey& aKey);
  //! Sheds what became hopeless and lets the cold-start ramp go on; called a few times a second.
  SlotActions Tick(common::TimePoint aNow) override;

  std::size_t Running() const override { return running_.size(); }
  std::size_t Queued() const override;
  common::Duration TimeOf(const std::string&) const override { return {}; }
  //! Slots that may be used at present, after the cold-start ramp.
  std::uint32_t SlotsNow(common::TimePoint aNow) const override;
  std::uint32_t Slots() const { return settings_.slots_; }
  bool IsDraining() const { return draining_; }
  bool IsReady() const { return ready_; }
  bool IsIdle() const { return running_.empty() && Queued() == 0; }

private:
  static constexpr std::size_t kClassCount = 4;

  struct RunningWork
  {
    config::TrafficClass trafficClass_;
    common::TimePoint since_;
  };

  //! Waiting work of one class by deadline, and what its running work tells.
  struct ClassQueue
  {
    std::multimap<common::TimePoint, AttemptKey> waiting_;
    std::size_t running_ = 0;
    ServiceTime serviceTime_;
  };

  ClassQueue& Class(config::TrafficClass aClass);
  const ClassQueue& Class(config::TrafficClass aClass) const;
  std::uint32_t ClassCap(std::size_t aClass, common::TimePoint aNow) const;
  std::uint32_t ShareOfSlots(std::size_t aClass, common::TimePoint aNow) const;
  bool IsHopeless(const Work& aWork, common::TimePoint aNow) const;
  void ShedHopeless(common::TimePoint aNow, SlotActions& aActions);
  void RefuseAllWaiting(RefuseReason aReason, SlotActions& aActions);
  bool MakeRoom(const Work& aWork, SlotActions& aActions);
  void StartWaiting(common::TimePoint aNow, SlotActions& aActions);
  std::size_t NextClass(common::TimePoint aNow) const;

  FairShareSettings settings_;
  std::array<ClassQueue, kClassCount> classes_;
  std::map<AttemptKey, RunningWork> running_;
  bool ready_ = false;
  bool draining_ = false;
  common::TimePoint readySince_;
  common::TimePoint drainingSince_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_FairShareQueue_h
