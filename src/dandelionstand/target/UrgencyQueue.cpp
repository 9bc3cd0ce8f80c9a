#include "dandelionstand/target/UrgencyQueue.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::target {

namespace {

//! Weight of the latest start in the moving average overdueShare_.
constexpr double kOverdueShareWeight = 0.05;
//! Below this share no overdue work is accepted, since it would hardly ever be started.
constexpr double kMinOverdueShare = 0.1;
//! Work that would be late because of the link, its body or its answer, is accepted only below this
//! transfer time.
constexpr common::Duration kMaxLateTransferTime = std::chrono::milliseconds(300);

} // namespace

SlotActions UrgencyQueue::SetLimits(std::uint32_t aSlots, std::uint32_t, common::TimePoint aNow)
{
  slots_ = std::max(1U, aSlots);
  SlotActions actions;
  StartQueued(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::SetMaxStartRate(std::optional<double> aStartsPerSecond,
                                          common::TimePoint aNow)
{
  pacer_.SetRate(aStartsPerSecond, aNow);
  SlotActions actions;
  StartQueued(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::MarkReady(common::TimePoint aNow, common::Duration)
{
  isReady_ = true;
  SlotActions actions;
  StartQueued(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::MarkNotReady(common::TimePoint)
{
  isReady_ = false;
  SlotActions actions;
  RefuseAllQueued(RefusalReason::kNotReady, actions);
  return actions;
}

SlotActions UrgencyQueue::MarkDraining(common::TimePoint)
{
  isDraining_ = true;
  SlotActions actions;
  RefuseAllQueued(RefusalReason::kDraining, actions);
  return actions;
}

std::optional<RefusalReason> UrgencyQueue::PredictRefusal(const Work& aWork,
                                                          common::TimePoint aOfferedAt,
                                                          common::TimePoint aNow) const
{
  if (isDraining_) {
    return RefusalReason::kDraining;
  }
  if (!isReady_) {
    return RefusalReason::kNotReady;
  }
  const common::TimePoint start = std::max(aOfferedAt, aNow + EstimatedWait(aWork, aNow));
  if (start + MeanServiceTime(aWork.route_) + aWork.transferTime_ > aWork.deadline_) {
    return RefusalReason::kUnservable;
  }
  const bool meetsObjective = MeetsObjective(aWork, start);
  if (!meetsObjective && aOfferedAt - aNow > kMaxLateTransferTime) {
    // Bodies arrive in order, so a late one would also delay those that could be on time.
    return aWork.mayMissObjective_ ? RefusalReason::kQueueFull : RefusalReason::kBusy;
  }
  if (meetsObjective || CanStart(aNow)) {
    return std::nullopt;
  }
  if (!aWork.mayMissObjective_) {
    return RefusalReason::kBusy;
  }
  return HasRoomForOverdue(aWork, aNow) ? std::nullopt : std::optional(RefusalReason::kQueueFull);
}

SlotActions UrgencyQueue::Offer(const Work& aWork, common::TimePoint aNow)
{
  SlotActions actions;
  const auto refuse = [&](RefusalReason aReason) {
    actions.push_back(RefuseWork{ aWork.key_, aReason });
    return actions;
  };
  if (isDraining_) {
    return refuse(RefusalReason::kDraining);
  }
  if (!isReady_) {
    return refuse(RefusalReason::kNotReady);
  }
  ShedUnservable(aNow, actions);
  StartQueued(aNow, actions);
  const common::TimePoint start = aNow + EstimatedWait(aWork, aNow);
  if (start + MeanServiceTime(aWork.route_) + aWork.transferTime_ > aWork.deadline_) {
    return refuse(RefusalReason::kUnservable);
  }
  if (aWork.transferTime_ > kMaxLateTransferTime && !MeetsObjective(aWork, start)) {
    // Answers leave in order, so a late one would also delay those that could be on time.
    return refuse(aWork.mayMissObjective_ ? RefusalReason::kQueueFull : RefusalReason::kBusy);
  }
  if (CanStart(aNow)) {
    Start(aWork, aNow, actions);
    return actions;
  }
  if (!MeetsObjective(aWork, start)) {
    if (!aWork.mayMissObjective_) {
      return refuse(RefusalReason::kBusy);
    }
    if (!HasRoomForOverdue(aWork, aNow)) {
      return refuse(RefusalReason::kQueueFull);
    }
  }
  queued_.push_back(aWork);
  return actions;
}

SlotActions UrgencyQueue::OnWorkFinished(const AttemptKey& aKey,
                                         WorkOutcome aOutcome,
                                         common::TimePoint aNow)
{
  SlotActions actions;
  const auto found = running_.find(aKey);
  if (found != running_.end()) {
    const common::Duration took = aNow - found->second.startedAt_;
    const bool isCompleted = aOutcome == WorkOutcome::kCompleted;
    routeTimes_[found->second.route_].AddFinished(took, isCompleted);
    overallTime_.AddFinished(took, isCompleted);
    running_.erase(found);
  } else {
    std::erase_if(queued_, [&](const Work& aWork) { return aWork.key_ == aKey; });
  }
  ShedUnservable(aNow, actions);
  StartQueued(aNow, actions);
  return actions;
}

SlotActions UrgencyQueue::Tick(common::TimePoint aNow)
{
  SlotActions actions;
  ShedUnservable(aNow, actions);
  StartQueued(aNow, actions);
  return actions;
}

std::uint32_t UrgencyQueue::UsableSlots(common::TimePoint) const
{
  if (!isReady_) {
    return 0;
  }
  if (!pacer_.Rate()) {
    return slots_;
  }
  // At a limited rate no more slots are in use at a time than starts during one service time.
  const double used = *pacer_.Rate() * static_cast<double>(overallTime_.Mean().count()) /
                      static_cast<double>(common::Duration(std::chrono::seconds(1)).count());
  return std::clamp(static_cast<std::uint32_t>(std::min<double>(used, slots_)), 1U, slots_);
}

bool UrgencyQueue::CanStart(common::TimePoint aNow) const
{
  return running_.size() < slots_ && pacer_.CanStart(aNow);
}

common::Duration UrgencyQueue::MeanServiceTime(const std::string& aRoute) const
{
  const auto found = routeTimes_.find(aRoute);
  return found == routeTimes_.end() ? overallTime_.Mean() : found->second.Mean();
}

bool UrgencyQueue::MeetsObjective(const Work& aWork, common::TimePoint aStart) const
{
  if (aWork.objective_ == common::TimePoint::max()) {
    return true;
  }
  const auto found = routeTimes_.find(aWork.route_);
  const ServiceTime& time = found == routeTimes_.end() ? overallTime_ : found->second;
  return aStart + time.MeanPlusDeviation() + aWork.transferTime_ <= aWork.objective_;
}

bool UrgencyQueue::HasPriorityOver(const Work& aLhs, const Work& aRhs, common::TimePoint aNow) const
{
  const bool isLhsOnTime = MeetsObjective(aLhs, aNow);
  if (isLhsOnTime != MeetsObjective(aRhs, aNow)) {
    return isLhsOnTime;
  }
  if (aLhs.rank_ != aRhs.rank_) {
    return aLhs.rank_ < aRhs.rank_;
  }
  return isLhsOnTime ? aLhs.objective_ < aRhs.objective_ : aLhs.deadline_ < aRhs.deadline_;
}

common::Duration UrgencyQueue::EstimatedWait(const Work& aWork, common::TimePoint aNow) const
{
  if (CanStart(aNow)) {
    return {};
  }
  // Assumes that slots become free evenly, one per mean service time / number of slots.
  common::Duration workAhead = running_.size() < slots_ ? common::Duration(0) : overallTime_.Mean();
  std::size_t countAhead = 0;
  for (const Work& other : queued_) {
    if (!HasPriorityOver(aWork, other, aNow)) {
      workAhead += MeanServiceTime(other.route_);
      ++countAhead;
    }
  }
  return std::max(workAhead / slots_, pacer_.TimeToStart(countAhead, aNow));
}

bool UrgencyQueue::HasRoomForOverdue(const Work& aWork, common::TimePoint aNow) const
{
  const auto overdueCount = std::count_if(queued_.begin(), queued_.end(), [&](const Work& aOther) {
    return !MeetsObjective(aOther, aNow);
  });
  // Overdue work is started only if no work that can meet its objective is queued.
  if (overdueShare_ < kMinOverdueShare) {
    return false;
  }
  const common::Duration ownWait =
    std::max(overallTime_.Mean() * (overdueCount + 1) / slots_,
             pacer_.TimeToStart(static_cast<std::size_t>(overdueCount), aNow));
  const auto wait = common::Duration(
    static_cast<common::Duration::rep>(static_cast<double>(ownWait.count()) / overdueShare_));
  return aNow + wait + MeanServiceTime(aWork.route_) <= aWork.deadline_;
}

void UrgencyQueue::Start(const Work& aWork, common::TimePoint aNow, SlotActions& aActions)
{
  running_[aWork.key_] = { aWork.route_, aNow };
  pacer_.RecordStart(aNow);
  RecordStart(!MeetsObjective(aWork, aNow), aNow);
  aActions.push_back(StartWork{ aWork.key_ });
}

void UrgencyQueue::RecordStart(bool aIsOverdue, common::TimePoint)
{
  const bool hasFreeSlots = running_.size() < slots_;
  const double sample = aIsOverdue || hasFreeSlots ? 1.0 : 0.0;
  overdueShare_ += kOverdueShareWeight * (sample - overdueShare_);
}

void UrgencyQueue::StartQueued(common::TimePoint aNow, SlotActions& aActions)
{
  while (isReady_ && CanStart(aNow) && !queued_.empty()) {
    const auto best =
      std::min_element(queued_.begin(), queued_.end(), [&](const Work& aLhs, const Work& aRhs) {
        return HasPriorityOver(aLhs, aRhs, aNow);
      });
    const Work work = *best;
    queued_.erase(best);
    Start(work, aNow, aActions);
  }
}

void UrgencyQueue::ShedUnservable(common::TimePoint aNow, SlotActions& aActions)
{
  const bool isOverdueStarved = overdueShare_ < kMinOverdueShare;
  std::erase_if(queued_, [&](const Work& aWork) {
    const bool isUnservable = aNow + MeanServiceTime(aWork.route_) > aWork.deadline_ ||
                              (isOverdueStarved && !MeetsObjective(aWork, aNow));
    if (isUnservable) {
      aActions.push_back(RefuseWork{ aWork.key_, RefusalReason::kUnservable });
    }
    return isUnservable;
  });
}

void UrgencyQueue::RefuseAllQueued(RefusalReason aReason, SlotActions& aActions)
{
  for (const Work& work : queued_) {
    aActions.push_back(RefuseWork{ work.key_, aReason });
  }
  queued_.clear();
}

} // namespace dandelionstand::target
