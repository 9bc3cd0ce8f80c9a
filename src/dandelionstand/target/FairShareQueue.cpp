#include "dandelionstand/target/FairShareQueue.h"

#include <algorithm>

namespace dandelionstand::target {

using config::TrafficClass;

namespace {

//! Shares of the slots and of the queue, by traffic class in the order of the enumeration.
constexpr std::array<std::uint32_t, 4> kShares = { 40, 30, 10, 20 };
constexpr std::uint32_t kSharesTotal = 100;

//! Downloads hold a slot for long, so they never take the last quarter of the slots.
constexpr std::uint32_t kDownloadCapPercent = 75;
constexpr std::uint32_t kPercent = 100;

//! What is shed first when the queue is full: browse, then downloads, look-ups, orders.
constexpr std::array<std::uint32_t, 4> kShedRank = { 0, 1, 2, 3 };

constexpr std::size_t kNoClass = kShares.size();

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
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions FairShareQueue::Ready(common::TimePoint aNow, common::Duration aRampUp)
{
  settings_.coldStart_ = aRampUp;
  return Ready(aNow);
}

SlotActions FairShareQueue::Ready(common::TimePoint aNow)
{
  SlotActions actions;
  if (!ready_) {
    ready_ = true;
    readySince_ = aNow;
  }
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions FairShareQueue::NotReady(common::TimePoint)
{
  SlotActions actions;
  ready_ = false;
  RefuseAllWaiting(RefuseReason::kNotReady, actions);
  return actions;
}

SlotActions FairShareQueue::Drain(common::TimePoint aNow)
{
  SlotActions actions;
  if (!draining_) {
    draining_ = true;
    drainingSince_ = aNow;
  }
  return actions;
}

SlotActions FairShareQueue::Offer(const Work& aWork, common::TimePoint aNow)
{
  SlotActions actions;
  ShedHopeless(aNow, actions);
  if (draining_) {
    actions.push_back(RefuseWork{ aWork.key_, RefuseReason::kDraining });
    return actions;
  }
  if (!ready_) {
    actions.push_back(RefuseWork{ aWork.key_, RefuseReason::kNotReady });
    return actions;
  }
  if (IsHopeless(aWork, aNow)) {
    actions.push_back(RefuseWork{ aWork.key_, RefuseReason::kHopeless });
    return actions;
  }
  // A place in the queue is needed only if no slot is free for the class.
  Class(aWork.trafficClass_).waiting_.emplace(aWork.deadline_, aWork.key_);
  StartWaiting(aNow, actions);
  if (Queued() > settings_.queueLength_ && !MakeRoom(aWork, actions)) {
    Cancel(aWork.key_);
    actions.push_back(RefuseWork{ aWork.key_, RefuseReason::kQueueFull });
  }
  return actions;
}

SlotActions FairShareQueue::Finished(const AttemptKey& aKey, WorkEnd aEnd, common::TimePoint aNow)
{
  SlotActions actions;
  const auto found = running_.find(aKey);
  if (found == running_.end()) {
    Cancel(aKey);
    return actions;
  }
  ClassQueue& queue = Class(found->second.trafficClass_);
  queue.serviceTime_.AddEnd(aNow - found->second.since_, aEnd == WorkEnd::kServed);
  --queue.running_;
  running_.erase(found);
  ShedHopeless(aNow, actions);
  StartWaiting(aNow, actions);
  return actions;
}

bool FairShareQueue::Cancel(const AttemptKey& aKey)
{
  for (ClassQueue& queue : classes_) {
    const auto found = std::find_if(queue.waiting_.begin(),
                                    queue.waiting_.end(),
                                    [&](const auto& aEntry) { return aEntry.second == aKey; });
    if (found != queue.waiting_.end()) {
      queue.waiting_.erase(found);
      return true;
    }
  }
  return false;
}

SlotActions FairShareQueue::Tick(common::TimePoint aNow)
{
  SlotActions actions;
  ShedHopeless(aNow, actions);
  if (draining_ && aNow - drainingSince_ >= settings_.drainQueue_) {
    RefuseAllWaiting(RefuseReason::kDraining, actions);
  }
  StartWaiting(aNow, actions);
  return actions;
}

std::size_t FairShareQueue::Queued() const
{
  std::size_t count = 0;
  for (const ClassQueue& queue : classes_) {
    count += queue.waiting_.size();
  }
  return count;
}

std::uint32_t FairShareQueue::SlotsNow(common::TimePoint aNow) const
{
  if (!ready_) {
    return 0;
  }
  const common::Duration age = aNow - readySince_;
  if (age >= settings_.coldStart_) {
    return settings_.slots_;
  }
  const auto warm = static_cast<std::uint64_t>(settings_.slots_) *
                    static_cast<std::uint64_t>(age.count()) /
                    static_cast<std::uint64_t>(settings_.coldStart_.count());
  // A quarter at once, so that the target warms up on real work.
  const std::uint32_t first = std::max(1U, settings_.slots_ / 4);
  return std::max(first, static_cast<std::uint32_t>(warm));
}

FairShareQueue::ClassQueue& FairShareQueue::Class(TrafficClass aClass)
{
  return classes_.at(IndexOf(aClass));
}

const FairShareQueue::ClassQueue& FairShareQueue::Class(TrafficClass aClass) const
{
  return classes_.at(IndexOf(aClass));
}

std::uint32_t FairShareQueue::ClassCap(std::size_t aClass, common::TimePoint aNow) const
{
  const std::uint32_t slots = SlotsNow(aNow);
  if (aClass != IndexOf(TrafficClass::kDownload)) {
    return slots;
  }
  return std::max(1U, slots * kDownloadCapPercent / kPercent);
}

std::uint32_t FairShareQueue::ShareOfSlots(std::size_t aClass, common::TimePoint aNow) const
{
  std::uint32_t activeShares = 0;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const bool isActive = classes_[i].running_ > 0 || !classes_[i].waiting_.empty();
    if (isActive || i == aClass) {
      activeShares += kShares[i];
    }
  }
  return std::max(1U, SlotsNow(aNow) * kShares[aClass] / activeShares);
}

bool FairShareQueue::IsHopeless(const Work& aWork, common::TimePoint aNow) const
{
  const ClassQueue& queue = Class(aWork.trafficClass_);
  common::Duration need = queue.serviceTime_.Mean();
  if (running_.size() >= SlotsNow(aNow)) {
    const auto ahead =
      std::distance(queue.waiting_.begin(), queue.waiting_.lower_bound(aWork.deadline_));
    const std::uint32_t share = ShareOfSlots(IndexOf(aWork.trafficClass_), aNow);
    need = queue.serviceTime_.Upper() + queue.serviceTime_.Mean() * (ahead + 1) / share;
  }
  return aWork.deadline_ <= aNow || aWork.deadline_ - aNow < need;
}

void FairShareQueue::ShedHopeless(common::TimePoint aNow, SlotActions& aActions)
{
  for (ClassQueue& queue : classes_) {
    const common::TimePoint earliest = aNow + queue.serviceTime_.Mean();
    while (!queue.waiting_.empty() && queue.waiting_.begin()->first <= earliest) {
      aActions.push_back(RefuseWork{ queue.waiting_.begin()->second, RefuseReason::kHopeless });
      queue.waiting_.erase(queue.waiting_.begin());
    }
  }
}

void FairShareQueue::RefuseAllWaiting(RefuseReason aReason, SlotActions& aActions)
{
  for (ClassQueue& queue : classes_) {
    for (const auto& entry : queue.waiting_) {
      aActions.push_back(RefuseWork{ entry.second, aReason });
    }
    queue.waiting_.clear();
  }
}

bool FairShareQueue::MakeRoom(const Work& aWork, SlotActions& aActions)
{
  // The class that is furthest above its share of the queue gives up its latest deadline.
  std::size_t victim = kNoClass;
  std::size_t worst = 0;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const std::size_t use = classes_[i].waiting_.size() * kSharesTotal / kShares[i];
    const bool isWorse =
      use > worst || (use == worst && victim != kNoClass && kShedRank[i] > kShedRank[victim]);
    if (use > 0 && isWorse) {
      victim = i;
      worst = use;
    }
  }
  if (victim == kNoClass) {
    return false;
  }
  auto& waiting = classes_[victim].waiting_;
  const auto last = std::prev(waiting.end());
  if (last->second == aWork.key_) {
    return false;
  }
  aActions.push_back(RefuseWork{ last->second, RefuseReason::kQueueFull });
  waiting.erase(last);
  return true;
}

void FairShareQueue::StartWaiting(common::TimePoint aNow, SlotActions& aActions)
{
  while (running_.size() < SlotsNow(aNow)) {
    const std::size_t next = NextClass(aNow);
    if (next == kNoClass) {
      return;
    }
    ClassQueue& queue = classes_[next];
    const AttemptKey key = queue.waiting_.begin()->second;
    queue.waiting_.erase(queue.waiting_.begin());
    ++queue.running_;
    running_[key] = { static_cast<TrafficClass>(next), aNow };
    aActions.push_back(StartWork{ key });
  }
}

std::size_t FairShareQueue::NextClass(common::TimePoint aNow) const
{
  std::size_t best = kNoClass;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    const ClassQueue& queue = classes_[i];
    if (queue.waiting_.empty() || queue.running_ >= ClassCap(i, aNow)) {
      continue;
    }
    // Compares running/share without a division.
    const bool isLess =
      best == kNoClass || queue.running_ * kShares[best] < classes_[best].running_ * kShares[i];
    if (isLess) {
      best = i;
    }
  }
  return best;
}

} // namespace dandelionstand::target
