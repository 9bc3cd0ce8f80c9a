#include "dandelionstand/target/EgressQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionstand::target {

namespace {

//! Bodies wait no longer than this for small messages, which cannot be held back.
constexpr common::Duration kMaxHold = std::chrono::milliseconds(500);
//! Bandwidth of this period may be used later, since the event loop sends a part some milliseconds
//! after it is due.
constexpr common::Duration kCatchUpPeriod = std::chrono::milliseconds(30);
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

} // namespace

void EgressQueue::RecordSent(std::size_t aBytes, common::TimePoint aNow)
{
  sentBytes_ += aBytes;
  if (bytesPerSecond_) {
    freeAt_ =
      std::min(std::max(freeAt_, aNow - kCatchUpPeriod) + SendTime(aBytes), aNow + kMaxHold);
  }
}

void EgressQueue::Reserve(const AttemptKey& aKey, std::size_t aBytes)
{
  if (IsLimited()) {
    reservedBytes_[aKey] += aBytes;
    totalReservedBytes_ += aBytes;
  }
}

void EgressQueue::ReleaseReserved(const AttemptKey& aKey, std::size_t aBytes)
{
  const auto reserved = reservedBytes_.find(aKey);
  if (reserved == reservedBytes_.end()) {
    return;
  }
  const std::size_t released = std::min(aBytes, reserved->second);
  reserved->second -= released;
  totalReservedBytes_ -= released;
  if (reserved->second == 0) {
    reservedBytes_.erase(reserved);
  }
}

void EgressQueue::ReleaseReservation(const AttemptKey& aKey)
{
  ReleaseReserved(aKey, std::numeric_limits<std::size_t>::max());
}

void EgressQueue::Push(Part aPart)
{
  ReleaseReserved(aPart.key_,
                  aPart.isLast_ ? std::numeric_limits<std::size_t>::max() : aPart.bytes_);
  queuedBytes_ += aPart.bytes_;
  auto answer = std::find_if(answers_.begin(), answers_.end(), [&](const Answer& aAnswer) {
    return aAnswer.key_ == aPart.key_;
  });
  if (answer == answers_.end()) {
    answer = answers_.insert(answers_.end(), Answer{ aPart.key_, {} });
  }
  answer->parts_.push_back(std::move(aPart));
}

std::optional<EgressQueue::Part> EgressQueue::TakeDue(common::TimePoint aNow)
{
  if (IsLimited() && freeAt_ > aNow) {
    return std::nullopt;
  }
  const auto answer = std::find_if(answers_.begin(), answers_.end(), [](const Answer& aAnswer) {
    return !aAnswer.parts_.empty();
  });
  if (answer == answers_.end()) {
    return std::nullopt;
  }
  Part part = std::move(answer->parts_.front());
  answer->parts_.pop_front();
  queuedBytes_ -= part.bytes_;
  if (part.isLast_) {
    answers_.erase(answer);
  }
  return part;
}

void EgressQueue::Drop(const AttemptKey& aKey)
{
  ReleaseReservation(aKey);
  std::erase_if(answers_, [&](const Answer& aAnswer) {
    if (aAnswer.key_ != aKey) {
      return false;
    }
    for (const Part& part : aAnswer.parts_) {
      queuedBytes_ -= part.bytes_;
    }
    return true;
  });
}

bool EgressQueue::Contains(const AttemptKey& aKey) const
{
  return std::any_of(
    answers_.begin(), answers_.end(), [&](const Answer& aAnswer) { return aAnswer.key_ == aKey; });
}

common::Duration EgressQueue::TimeToSend(std::size_t aBytes, common::TimePoint aNow) const
{
  if (!IsLimited()) {
    return {};
  }
  const common::Duration untilFree = std::max(common::Duration(0), freeAt_ - aNow);
  return untilFree + SendTime(queuedBytes_ + totalReservedBytes_ + aBytes);
}

common::Duration EgressQueue::SendTime(std::size_t aBytes) const
{
  return common::Duration(aBytes * kMicrosecondsPerSecond / *bytesPerSecond_);
}

} // namespace dandelionstand::target
