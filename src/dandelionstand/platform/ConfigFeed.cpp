#include "dandelionstand/platform/ConfigFeed.h"

#include "dandelionstand/common/EventLog.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::platform {

namespace {

using namespace std::chrono_literals;

//! The platform's documentation calls this key `op/config`: key `config` of the keyed stream `op`.
const StreamName kOperatorStream("op");
constexpr const char* kConfigKey = "config";

//! Delay before the next poll after an answer without records. It prevents a busy loop if the store
//! answers before the wait has ended.
constexpr common::Duration kEmptyAnswerDelay = 50ms;
//! Delay before a retry; doubles with each consecutive failure. The platform requires that the
//! store is read again within 3 s after an outage; the maximum leaves time for several attempts.
constexpr common::Duration kMinBackoff = 100ms;
constexpr common::Duration kMaxBackoff = 800ms;

} // namespace

ConfigFeed::ConfigFeed(common::EventLoop& aLoop,
                       Log& aLog,
                       std::uint64_t aSeed,
                       common::Duration aMaxPollWait,
                       Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , random_(aSeed)
  , maxPollWait_(aMaxPollWait)
  , handlers_(std::move(aHandlers))
{
}

void ConfigFeed::Start()
{
  ReadNewest();
}

void ConfigFeed::SetPolling(bool aIsPolling)
{
  isPolling_ = aIsPolling;
  if (isPolling_ && std::exchange(isIdle_, false)) {
    Continue();
  }
}

common::Duration ConfigFeed::TimeSinceLastAnswer() const
{
  return hasAnswered_ ? common::Now() - lastAnswerAt_ : common::Duration::max();
}

void ConfigFeed::ReadNewest()
{
  log_.ReadNewest(kOperatorStream,
                  [this, startedAt = common::BootNow()](const KeyedReadResult& aResult) {
                    OnReadResult(aResult, true, startedAt);
                  });
}

void ConfigFeed::Continue()
{
  if (!isPolling_) {
    isIdle_ = true;
  } else if (nextOffset_.Get() > 0) {
    // After an outage, reading on from the same offset returns the records written during it.
    ReadNext();
  } else {
    ReadNewest();
  }
}

void ConfigFeed::ReadNext()
{
  log_.ReadKeyed(kOperatorStream,
                 nextOffset_,
                 maxPollWait_,
                 [this, startedAt = common::BootNow()](const KeyedReadResult& aResult) {
                   OnReadResult(aResult, false, startedAt);
                 });
}

void ConfigFeed::ReadNow()
{
  if (nextOffset_.Get() == 0 || std::exchange(isReadingNow_, true)) {
    return; // Without an offset the feed reads the newest document anyway.
  }
  log_.ReadKeyed(kOperatorStream,
                 nextOffset_,
                 common::Duration(0),
                 [this, startedAt = common::BootNow()](const KeyedReadResult& aResult) {
                   isReadingNow_ = false;
                   if (aResult.status_ == LogStatus::kOk) {
                     Deliver(aResult, startedAt);
                   }
                 });
}

bool ConfigFeed::Deliver(const KeyedReadResult& aResult, common::TimePoint aStartedAt)
{
  hasAnswered_ = true;
  lastAnswerAt_ = common::Now();
  SkipTo(aResult.nextOffset_);
  bool hasDocument = false;
  for (const KeyedRecord& record : aResult.records_) {
    if (record.key_ == kConfigKey) {
      hasDocument = true;
      handlers_.onDocument_(record.data_);
    }
  }
  handlers_.onAnswer_(nextOffset_, aStartedAt);
  return hasDocument;
}

void ConfigFeed::OnReadResult(const KeyedReadResult& aResult,
                              bool aIsNewestRead,
                              common::TimePoint aStartedAt)
{
  if (aResult.status_ == LogStatus::kGap && !aIsNewestRead) {
    ReadNewest();
    return;
  }
  if (aResult.status_ != LogStatus::kOk) {
    ScheduleRetry();
    return;
  }
  if (!std::exchange(isStoreReachable_, true)) {
    common::LogEvent(common::Severity::kInfo,
                     "dependency_reached",
                     { { "dependency", "store" }, { "next_offset", aResult.nextOffset_.Get() } });
  }
  backoff_ = common::Duration(0);
  const bool hasDocument = Deliver(aResult, aStartedAt);
  const bool isEmptyPoll = !aIsNewestRead && aResult.records_.empty();
  if (isEmptyPoll || (aIsNewestRead && !hasDocument)) {
    timer_ = loop_.After(kEmptyAnswerDelay, [this] { Continue(); });
  } else {
    Continue();
  }
}

void ConfigFeed::ScheduleRetry()
{
  if (std::exchange(isStoreReachable_, false)) {
    common::LogEvent(common::Severity::kWarn, "dependency_lost", { { "dependency", "store" } });
  }
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  std::uniform_int_distribution<common::Duration::rep> jitter(backoff_.count() / 2,
                                                              backoff_.count());
  timer_ = loop_.After(common::Duration(jitter(random_)), [this] { Continue(); });
}

} // namespace dandelionstand::platform
