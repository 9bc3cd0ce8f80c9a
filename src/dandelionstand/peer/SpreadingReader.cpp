// The part of Spreading that decides when this daemon reads the log itself.
#include "dandelionstand/peer/Rank.h"
#include "dandelionstand/peer/Spreading.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kJoinPatience = 1'500ms;
constexpr common::Duration kLostRead = 700ms;
constexpr common::Duration kFirstBackoff = 100ms;
//! A gap is given this time to be filled by a peer.
constexpr common::Duration kGapPatience = 1'500ms;
//! An answer without records that comes sooner than the wait must not make a busy loop.
constexpr common::Duration kEmptyReadPause = 20ms;

} // namespace

void Spreading::UpdateReader()
{
  isReader_ = ShouldRead();
}

bool Spreading::ShouldRead() const
{
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return true;
  }
  const Members ranked = RankedInRegion(members_, self_.region_);
  const bool isFirst = !ranked.empty() && ranked.front().instance_ == self_.instance_;
  // Before it has met others, a daemon takes itself for the first of its region.
  if (isFirst && (hasJoined_ || now_ > start_ + kJoinPatience)) {
    return true;
  }
  if (betterReaderAt_.has_value() && now_ <= *betterReaderAt_ + settings_.silence_) {
    return false;
  }
  if (isReader_) {
    return true;
  }
  common::Duration delay{};
  const common::TimePoint since = std::max(start_, readerSeenAt_.value_or(start_));
  return StandInDelay(members_, self_, settings_, delay) && now_ > since + delay;
}

void Spreading::ReadIfDue()
{
  // A connection may have gone silent for good while new ones work.
  const bool isLost = isReading_ && now_ > readOverdue_;
  if (!isReader_ || (isReading_ && !isLost) || now_ < nextRead_) {
    return;
  }
  // The first read must not wait: it tells where the tail is.
  const common::Duration wait = IsFollowingLog() ? settings_.logWait_ : common::Duration(0);
  isReading_ = true;
  readOverdue_ = now_ + wait + kLostRead;
  actions_.push_back(ReadLog{ ++readSequence_, common::Offset(position_.Get() + 1), wait });
}

void Spreading::On(const LogRead& aRead)
{
  if (aRead.sequence_ == readSequence_) {
    isReading_ = false;
  }
  const platform::ReadResult& result = aRead.result_;
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
  nextRead_ = result.records_.empty() ? now_ + kEmptyReadPause : now_;
  const common::Offset tail(result.endOffset_.Get() - 1);
  floor_.OnOwnTail(tail);
  NoteTail(tail, now_);
  TakeRecords(result.records_, nullptr);
  UpdateReader();
  ReadIfDue();
}

void Spreading::OnGap(const platform::ReadResult& aResult)
{
  const common::Offset tail(aResult.endOffset_.Get() - 1);
  floor_.OnOwnTail(tail);
  nextRead_ = now_ + settings_.fetchTimeout_;
  highest_ = std::max(highest_, common::Offset(aResult.firstOffset_.Get() - 1));
  if (!gapSince_.has_value()) {
    gapSince_ = now_;
  }
  const bool isAlone = members_.size() < 2 || settings_.mode_ == SpreadingMode::kDirect;
  if (isAlone || now_ > *gapSince_ + kGapPatience) {
    isUsable_ = false;
    position_ = common::Offset(aResult.firstOffset_.Get() - 1);
    store_.Clear();
    gapSince_.reset();
    nextRead_ = now_;
    actions_.push_back(SkipTo{ aResult.firstOffset_ });
  }
  FetchIfBehind();
}

void Spreading::OnReadFailed()
{
  readBackoff_ = std::clamp(readBackoff_ * 2, kFirstBackoff, settings_.retryMost_);
  nextRead_ = now_ + Jittered(readBackoff_);
}

void Spreading::NoteTail(common::Offset aTail, common::TimePoint aSeenAt)
{
  if (!tailSeenAt_.has_value() || aSeenAt > *tailSeenAt_) {
    tailSeenAt_ = aSeenAt;
  }
  tail_ = std::max(tail_, aTail);
}

} // namespace dandelionstand::peer
