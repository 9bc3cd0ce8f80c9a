#include "dandelionstand/target/FairShareQueue.h"

#include <algorithm>

namespace dandelionstand::target {

using config::TrafficClass;

namespace {

//! Shares of the slots and of the queue, indexed by traffic class.
constexpr std::array<std::uint32_t, 4> kClassShares = { 40, 30, 10, 20 };
constexpr std::uint32_t kClassSharesTotal = 100;

//! Downloads occupy a slot for a long time, so a quarter of the slots is reserved for other
//! classes.
constexpr std::uint32_t kMaxDownloadSlotsPercent = 75;
constexpr std::uint32_t kPercent = 100;

//! Order of shedding, indexed by traffic class. Among classes with equal usage of their share of
//! the queue, the one with the highest value is shed first: browse, then downloads, look-ups,
//! orders.
constexpr std::array<std::uint32_t, 4> kShedOrder = { 0, 1, 2, 3 };

constexpr std::size_t kNoClass = kClassShares.size();

std::size_t IndexOf(TrafficClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

} // namespace

FairShareQueue::FairShareQueue(FairShareSettings aSettings)
  : settings_(aSettings)
{
}

SlotActions FairShareQueue::SetLimits(std::uint32_t aSlots,
                                      std::uint32_t aQueueLength,
                                      common::TimePoint aNow)
{
  settings_.slots_ = std::max(1U, aSlots);
  settings_.queueLength_ = aQueueLength;
  SlotActions actions;
  StartQueued(aNow, actions);
  return actions;
}

SlotActions FairShareQueue::SetMaxStartRate(std::optional<double> aStartsPerSecond,
                                            common::TimePoint aNow)
{
  pacer_.SetRate(aStartsPerSecond, aNow);
  SlotActions actions;
  StartQueued(aNow, actions);
  return actions;
}

SlotActions FairShareQueue::MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration)
{
  settings_.coldStartDuration_ = aRampUpDuration;
  return MarkReady(aNow);
}

SlotActions FairShareQueue::MarkReady(common::TimePoint aNow)
{
  SlotActions actions;
  if (!isReady_) {
    isReady_ = true;
    readyAt_ = aNow;
  }
  StartQueued(aNow, actions);
  return actions;
}

SlotActions FairShareQueue::MarkNotReady(common::TimePoint)
{
  SlotActions actions;
  isReady_ = false;
  RefuseAllQueued(RefusalReason::kNotReady, actions);
  return actions;
}

SlotActions FairShareQueue::MarkDraining(common::TimePoint aNow)
{
  SlotActions actions;
  if (!isDraining_) {
    isDraining_ = true;
    drainStartedAt_ = aNow;
  }
  return actions;
}

SlotActions FairShareQueue::Offer(const Work& aWork, common::TimePoint aNow)
{
  SlotActions actions;
  ShedUnservable(aNow, actions);
  if (isDraining_) {
    actions.push_back(RefuseWork{ aWork.key_, RefusalReason::kDraining });
    return actions;
  }
  if (!isReady_) {
    actions.push_back(RefuseWork{ aWork.key_, RefusalReason::kNotReady });
    return actions;
  }
  if (IsUnservable(aWork, aNow)) {
    actions.push_back(RefuseWork{ aWork.key_, RefusalReason::kUnservable });
    return actions;
  }
  // The queue length is checked after starting work, since work that starts at once needs no place
  // in the queue.
  QueueOf(aWork.trafficClass_).queued_.emplace(aWork.deadline_, aWork.key_);
  StartQueued(aNow, actions);
  if (QueuedCount() > settings_.queueLength_ && !EvictFor(aWork, actions)) {
    Cancel(aWork.key_);
    actions.push_back(RefuseWork{ aWork.key_, RefusalReason::kQueueFull });
  }
  return actions;
}

SlotActions FairShareQueue::OnWorkFinished(const AttemptKey& aKey,
                                           WorkOutcome aOutcome,
                                           common::TimePoint aNow)
{
  SlotActions actions;
  const auto found = running_.find(aKey);
  if (found == running_.end()) {
    Cancel(aKey);
    return actions;
  }
  ClassQueue& queue = QueueOf(found->second.trafficClass_);
  queue.serviceTime_.AddFinished(aNow - found->second.startedAt_,
                                 aOutcome == WorkOutcome::kCompleted);
  --queue.running_;
  running_.erase(found);
  ShedUnservable(aNow, actions);
  StartQueued(aNow, actions);
  return actions;
}

bool FairShareQueue::Cancel(const AttemptKey& aKey)
{
  for (ClassQueue& queue : classes_) {
    const auto found = std::find_if(queue.queued_.begin(),
                                    queue.queued_.end(),
                                    [&](const auto& aEntry) { return aEntry.second == aKey; });
    if (found != queue.queued_.end()) {
      queue.queued_.erase(found);
      return true;
    }
  }
  return false;
}

SlotActions FairShareQueue::Tick(common::TimePoint aNow)
{
  SlotActions actions;
  ShedUnservable(aNow, actions);
  if (isDraining_ && aNow - drainStartedAt_ >= settings_.drainQueuePeriod_) {
    RefuseAllQueued(RefusalReason::kDraining, actions);
  }
  StartQueued(aNow, actions);
  return actions;
}

std::size_t FairShareQueue::QueuedCount() const
{
  std::size_t count = 0;
  for (const ClassQueue& queue : classes_) {
    count += queue.queued_.size();
  }
  return count;
}

std::uint32_t FairShareQueue::UsableSlots(common::TimePoint aNow) const
{
  if (!isReady_) {
    return 0;
  }
  const common::Duration age = aNow - readyAt_;
  if (age >= settings_.coldStartDuration_) {
    return settings_.slots_;
  }
  const auto rampedSlots = static_cast<std::uint64_t>(settings_.slots_) *
                           static_cast<std::uint64_t>(age.count()) /
                           static_cast<std::uint64_t>(settings_.coldStartDuration_.count());
  // A quarter of the slots is usable at once, so that the target warms up on real requests.
  const std::uint32_t initialSlots = std::max(1U, settings_.slots_ / 4);
  return std::max(initialSlots, static_cast<std::uint32_t>(rampedSlots));
}

FairShareQueue::ClassQueue& FairShareQueue::QueueOf(TrafficClass aClass)
{
  return classes_.at(IndexOf(aClass));
}

const FairShareQueue::ClassQueue& FairShareQueue::QueueOf(TrafficClass aClass) const
{
  return classes_.at(IndexOf(aClass));
}

std::uint32_t FairShareQueue::MaxSlotsOf(std::size_t aClassIndex, common::TimePoint aNow) const
{
  const std::uint32_t slots = UsableSlots(aNow);
  if (aClassIndex != IndexOf(TrafficClass::kDownload)) {
    return slots;
  }
  return std::max(1U, slots * kMaxDownloadSlotsPercent / kPercent);
}

std::uint32_t FairShareQueue::SlotShare(std::size_t aClassIndex, common::TimePoint aNow) const
{
  std::uint32_t activeShares = 0;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const bool isActive = classes_[i].running_ > 0 || !classes_[i].queued_.empty();
    if (isActive || i == aClassIndex) {
      activeShares += kClassShares[i];
    }
  }
  return std::max(1U, UsableSlots(aNow) * kClassShares[aClassIndex] / activeShares);
}

bool FairShareQueue::IsUnservable(const Work& aWork, common::TimePoint aNow) const
{
  const ClassQueue& queue = QueueOf(aWork.trafficClass_);
  common::Duration requiredTime = queue.serviceTime_.Mean();
  if (running_.size() >= UsableSlots(aNow)) {
    const auto queuedAhead =
      std::distance(queue.queued_.begin(), queue.queued_.lower_bound(aWork.deadline_));
    const std::uint32_t share = SlotShare(IndexOf(aWork.trafficClass_), aNow);
    requiredTime = queue.serviceTime_.MeanPlusTwoDeviations() +
                   queue.serviceTime_.Mean() * (queuedAhead + 1) / share;
  }
  requiredTime =
    std::max(requiredTime, pacer_.TimeToStart(QueuedCount(), aNow) + queue.serviceTime_.Mean());
  return aWork.deadline_ <= aNow || aWork.deadline_ - aNow < requiredTime;
}

void FairShareQueue::ShedUnservable(common::TimePoint aNow, SlotActions& aActions)
{
  for (ClassQueue& queue : classes_) {
    const common::TimePoint earliestFinish = aNow + queue.serviceTime_.Mean();
    while (!queue.queued_.empty() && queue.queued_.begin()->first <= earliestFinish) {
      aActions.push_back(RefuseWork{ queue.queued_.begin()->second, RefusalReason::kUnservable });
      queue.queued_.erase(queue.queued_.begin());
    }
  }
}

void FairShareQueue::RefuseAllQueued(RefusalReason aReason, SlotActions& aActions)
{
  for (ClassQueue& queue : classes_) {
    for (const auto& entry : queue.queued_) {
      aActions.push_back(RefuseWork{ entry.second, aReason });
    }
    queue.queued_.clear();
  }
}

bool FairShareQueue::EvictFor(const Work& aWork, SlotActions& aActions)
{
  // Evicts the work with the latest deadline from the class with the highest usage of its share.
  std::size_t victim = kNoClass;
  std::size_t highestUsage = 0;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const std::size_t usage = classes_[i].queued_.size() * kClassSharesTotal / kClassShares[i];
    const bool isHigher = usage > highestUsage || (usage == highestUsage && victim != kNoClass &&
                                                   kShedOrder[i] > kShedOrder[victim]);
    if (usage > 0 && isHigher) {
      victim = i;
      highestUsage = usage;
    }
  }
  if (victim == kNoClass) {
    return false;
  }
  auto& queued = classes_[victim].queued_;
  const auto last = std::prev(queued.end());
  if (last->second == aWork.key_) {
    return false;
  }
  aActions.push_back(RefuseWork{ last->second, RefusalReason::kQueueFull });
  queued.erase(last);
  return true;
}

void FairShareQueue::StartQueued(common::TimePoint aNow, SlotActions& aActions)
{
  while (running_.size() < UsableSlots(aNow) && pacer_.CanStart(aNow)) {
    const std::size_t next = NextClass(aNow);
    if (next == kNoClass) {
      return;
    }
    ClassQueue& queue = classes_[next];
    const AttemptKey key = queue.queued_.begin()->second;
    queue.queued_.erase(queue.queued_.begin());
    ++queue.running_;
    pacer_.RecordStart(aNow);
    running_[key] = { static_cast<TrafficClass>(next), aNow };
    aActions.push_back(StartWork{ key });
  }
}

std::size_t FairShareQueue::NextClass(common::TimePoint aNow) const
{
  std::size_t best = kNoClass;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const ClassQueue& queue = classes_[i];
    if (queue.queued_.empty() || queue.running_ >= MaxSlotsOf(i, aNow)) {
      continue;
    }
    // Compares running / share of both classes without a division.
    const bool isLessLoaded = best == kNoClass || queue.running_ * kClassShares[best] <
                                                    classes_[best].running_ * kClassShares[i];
    if (isLessLoaded) {
      best = i;
    }
  }
  return best;
}

} // namespace dandelionstand::target
