#include "dandelionstand/target/UrgencyQueue.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::target {

namespace {

//! Weight of the newest start in the share of late ones.
constexpr double kLateWeight = 0.05;
//! Below this share of the starts no late work is taken: it would wait for nothing.
constexpr double kLeastLateShare = 0.1;

} // namespace

SlotActions UrgencyQueue::SetLimits(std::uint32_t aSlots, std::uint32_t, common::TimePoint aNow)
{
  slots_ = std::max(1U, aSlots);
  SlotActions actions;
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::Ready(common::TimePoint aNow, common::Duration)
{
  isReady_ = true;
  SlotActions actions;
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::NotReady(common::TimePoint)
{
  isReady_ = false;
  SlotActions actions;
  RefuseAllWaiting(RefuseReason::kNotReady, actions);
  return actions;
}

SlotActions UrgencyQueue::Drain(common::TimePoint)
{
  isDraining_ = true;
  SlotActions actions;
  RefuseAllWaiting(RefuseReason::kDraining, actions);
  return actions;
}

SlotActions UrgencyQueue::Offer(const Work& aWork, common::TimePoint aNow)
{
  SlotActions actions;
  const auto refuse = [&](RefuseReason aReason) {
    actions.push_back(RefuseWork{ aWork.key_, aReason });
    return actions;
  };
  if (isDraining_) {
    return refuse(RefuseReason::kDraining);
  }
  if (!isReady_) {
    return refuse(RefuseReason::kNotReady);
  }
  ShedHopeless(aNow, actions);
  StartWaiting(aNow, actions);
  const common::TimePoint start = aNow + WaitOf(aWork, aNow);
  if (start + TimeOf(aWork.route_) > aWork.deadline_) {
    return refuse(RefuseReason::kHopeless);
  }
  if (running_.size() < slots_) {
    Start(aWork, aNow, actions);
    return actions;
  }
  if (!IsInTime(aWork, start)) {
    if (!aWork.mayBeLate_) {
      return refuse(RefuseReason::kBusy);
    }
    if (!HasRoomForLate(aWork, aNow)) {
      return refuse(RefuseReason::kQueueFull);
    }
  }
  waiting_.push_back(aWork);
  return actions;
}

SlotActions UrgencyQueue::Finished(const AttemptKey& aKey, WorkEnd aEnd, common::TimePoint aNow)
{
  SlotActions actions;
  const auto found = running_.find(aKey);
  if (found != running_.end()) {
    const common::Duration took = aNow - found->second.since_;
    const bool isWhole = aEnd == WorkEnd::kServed;
    times_[found->second.route_].AddEnd(took, isWhole);
    anyTime_.AddEnd(took, isWhole);
    running_.erase(found);
  } else {
    std::erase_if(waiting_, [&](const Work& aWork) { return aWork.key_ == aKey; });
  }
  ShedHopeless(aNow, actions);
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::Tick(common::TimePoint aNow)
{
  SlotActions actions;
  ShedHopeless(aNow, actions);
  StartWaiting(aNow, actions);
  return actions;
}

std::uint32_t UrgencyQueue::SlotsNow(common::TimePoint) const
{
  return isReady_ ? slots_ : 0;
}

common::Duration UrgencyQueue::TimeOf(const std::string& aRoute) const
{
  const auto found = times_.find(aRoute);
  return found == times_.end() ? anyTime_.Mean() : found->second.Mean();
}

bool UrgencyQueue::IsInTime(const Work& aWork, common::TimePoint aStart) const
{
  if (aWork.objective_ == common::TimePoint::max()) {
    return true;
  }
  const auto found = times_.find(aWork.route_);
  const ServiceTime& time = found == times_.end() ? anyTime_ : found->second;
  return aStart + time.Likely() <= aWork.objective_;
}

bool UrgencyQueue::GoesBefore(const Work& aLeft, const Work& aRight, common::TimePoint aNow) const
{
  const bool isLeftInTime = IsInTime(aLeft, aNow);
  if (isLeftInTime != IsInTime(aRight, aNow)) {
    return isLeftInTime;
  }
  if (aLeft.rank_ != aRight.rank_) {
    return aLeft.rank_ < aRight.rank_;
  }
  return isLeftInTime ? aLeft.objective_ < aRight.objective_ : aLeft.deadline_ < aRight.deadline_;
}

common::Duration UrgencyQueue::WaitOf(const Work& aWork, common::TimePoint aNow) const
{
  if (running_.size() < slots_) {
    return {};
  }
  // The slots free up evenly, one in each service time divided by their number.
  common::Duration ahead = anyTime_.Mean();
  for (const Work& other : waiting_) {
    if (!GoesBefore(aWork, other, aNow)) {
      ahead += TimeOf(other.route_);
    }
  }
  return ahead / slots_;
}

bool UrgencyQueue::HasRoomForLate(const Work& aWork, common::TimePoint aNow) const
{
  const auto late = std::count_if(
    waiting_.begin(), waiting_.end(), [&](const Work& aOther) { return !IsInTime(aOther, aNow); });
  // Late work gets only what nothing in time wants.
  if (lateShare_ < kLeastLateShare) {
    return false;
  }
  const auto wait = common::Duration(static_cast<common::Duration::rep>(
    static_cast<double>((anyTime_.Mean() * (late + 1) / slots_).count()) / lateShare_));
  return aNow + wait + TimeOf(aWork.route_) <= aWork.deadline_;
}

void UrgencyQueue::Start(const Work& aWork, common::TimePoint aNow, SlotActions& aActions)
{
  running_[aWork.key_] = { aWork.route_, aNow };
  NoteLateStart(!IsInTime(aWork, aNow), aNow);
  aActions.push_back(StartWork{ aWork.key_ });
}

void UrgencyQueue::NoteLateStart(bool aIsLate, common::TimePoint)
{
  const bool hasFreeSlots = running_.size() < slots_;
  const double sample = aIsLate || hasFreeSlots ? 1.0 : 0.0;
  lateShare_ += kLateWeight * (sample - lateShare_);
}

void UrgencyQueue::StartWaiting(common::TimePoint aNow, SlotActions& aActions)
{
  while (isReady_ && running_.size() < slots_ && !waiting_.empty()) {
    const auto best = std::min_element(
      waiting_.begin(), waiting_.end(), [&](const Work& aLeft, const Work& aRight) {
        return GoesBefore(aLeft, aRight, aNow);
      });
    const Work work = *best;
    waiting_.erase(best);
    Start(work, aNow, aActions);
  }
}

void UrgencyQueue::ShedHopeless(common::TimePoint aNow, SlotActions& aActions)
{
  const bool isLateStarved = lateShare_ < kLeastLateShare;
  std::erase_if(waiting_, [&](const Work& aWork) {
    const bool isHopeless =
      aNow + TimeOf(aWork.route_) > aWork.deadline_ || (isLateStarved && !IsInTime(aWork, aNow));
    if (isHopeless) {
      aActions.push_back(RefuseWork{ aWork.key_, RefuseReason::kHopeless });
    }
    return isHopeless;
  });
}

void UrgencyQueue::RefuseAllWaiting(RefuseReason aReason, SlotActions& aActions)
{
  for (const Work& work : waiting_) {
    aActions.push_back(RefuseWork{ work.key_, aReason });
  }
  waiting_.clear();
}

} // namespace dandelionstand::target
