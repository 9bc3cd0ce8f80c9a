// The part of Spreading that decides when this daemon reads the log itself.
#include "dandelionstand/peer/Rank.h"
#include "dandelionstand/peer/Spreading.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

//! A new daemon that has met no other member may become the reader after this time.
constexpr common::Duration kJoinTimeout = 1'500ms;
//! A read that is unanswered this long after its poll timeout counts as lost.
constexpr common::Duration kReadTimeoutMargin = 700ms;
constexpr common::Duration kInitialBackoff = 100ms;
//! Time for a peer to supply records that the log no longer has before they are skipped.
constexpr common::Duration kGapFillTimeout = 1'500ms;
//! Avoids a busy loop if the log answers without records before the poll timeout.
constexpr common::Duration kEmptyReadPause = 20ms;

} // namespace

void Spreading::UpdateReaderRole()
{
  isReader_ = ShouldBeReader();
}

bool Spreading::ShouldBeReader() const
{
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return true;
  }
  const Members ranked = RankedInRegion(members_, self_.region_);
  const bool isFirst = !ranked.empty() && ranked.front().instance_ == self_.instance_;
  // A daemon that has met no other member ranks itself first, so it waits before it reads.
  if (isFirst && (hasJoined_ || now_ > startedAt_ + kJoinTimeout)) {
    return true;
  }
  if (betterReaderSeenAt_.has_value() && now_ <= *betterReaderSeenAt_ + settings_.readerTimeout_) {
    return false;
  }
  if (isReader_) {
    return true;
  }
  common::Duration delay{};
  const common::TimePoint lastSignAt = std::max(startedAt_, readerSeenAt_.value_or(startedAt_));
  return TakeoverDelay(members_, self_, settings_, delay) && now_ > lastSignAt + delay;
}

void Spreading::ReadIfDue()
{
  // The connection of the pending read may be half-open while new connections work.
  const bool isLost = isReading_ && now_ > readDeadline_;
  if (!isReader_ || (isReading_ && !isLost) || now_ < nextReadAt_) {
    return;
  }
  // The first read does not wait for records, because its answer is needed for the log tail.
  const common::Duration pollTimeout =
    IsFollowingLog() ? settings_.longPollTimeout_ : common::Duration(0);
  isReading_ = true;
  readDeadline_ = now_ + pollTimeout + kReadTimeoutMargin;
  actions_.push_back(ReadLog{ ++readSequence_, common::Offset(position_.Get() + 1), pollTimeout });
}

void Spreading::On(const LogReadCompleted& aCompleted)
{
  if (aCompleted.sequence_ == readSequence_) {
    isReading_ = false;
  }
  const platform::ReadResult& result = aCompleted.result_;
  if (result.status_ == platform::LogStatus::kGap) {
    OnGap(result);
    return;
  }
  if (result.status_ != platform::LogStatus::kOk) {
    OnReadFailed();
    return;
  }
  readBackoff_ = common::Duration(0);
  lastReadAt_ = now_;
  readerSeenAt_ = now_;
  nextReadAt_ = result.records_.empty() ? now_ + kEmptyReadPause : now_;
  const common::Offset tail(result.endOffset_.Get() - 1);
  versionFloor_.OnLogTail(tail);
  UpdateLogTail(tail, now_);
  AcceptRecords(result.records_, nullptr);
  UpdateReaderRole();
  ReadIfDue();
}

void Spreading::OnGap(const platform::ReadResult& aResult)
{
  const common::Offset tail(aResult.endOffset_.Get() - 1);
  versionFloor_.OnLogTail(tail);
  nextReadAt_ = now_ + settings_.fetchTimeout_;
  highestPosition_ = std::max(highestPosition_, common::Offset(aResult.firstOffset_.Get() - 1));
  if (!gapSince_.has_value()) {
    gapSince_ = now_;
  }
  const bool isAlone = members_.size() < 2 || settings_.mode_ == SpreadingMode::kDirect;
  if (isAlone || now_ > *gapSince_ + kGapFillTimeout) {
    isReplicaComplete_ = false;
    position_ = common::Offset(aResult.firstOffset_.Get() - 1);
    recordStore_.Clear();
    gapSince_.reset();
    nextReadAt_ = now_;
    actions_.push_back(SkipToOffset{ aResult.firstOffset_ });
  }
  FetchIfBehind();
}

void Spreading::OnReadFailed()
{
  readBackoff_ = std::clamp(readBackoff_ * 2, kInitialBackoff, settings_.maxRetryBackoff_);
  nextReadAt_ = now_ + RandomDelay(readBackoff_);
}

void Spreading::UpdateLogTail(common::Offset aTail, common::TimePoint aSeenAt)
{
  if (!logTailSeenAt_.has_value() || aSeenAt > *logTailSeenAt_) {
    logTailSeenAt_ = aSeenAt;
  }
  logTail_ = std::max(logTail_, aTail);
}

} // namespace dandelionstand::peer
