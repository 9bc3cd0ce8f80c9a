#include "dandelionstand/platform/ConfigFeed.h"

#include "dandelionstand/common/EventLog.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::platform {

namespace {

using namespace std::chrono_literals;

//! What the pages call `op/config` is the key `config` of the keyed stream `op`.
const StreamName kOperatorStream("op");
constexpr const char* kConfigKey = "config";

//! Longest wait of a poll. It bounds how long a connection that went silent goes unnoticed, which
//! must stay below the 2 s in which a version has to be in force plus the 3 s that a connection
//! fault excuses.
constexpr common::Duration kPollWait = 1'800ms;
//! An answer without records that comes sooner than the wait must not make a busy loop.
constexpr common::Duration kEmptyPause = 50ms;
//! After a failure; doubles up to the most. A store that returns must be read within the 3 s that
//! the pages allow after an outage, with some tries to spare.
constexpr common::Duration kFirstBackoff = 100ms;
constexpr common::Duration kMostBackoff = 800ms;

} // namespace

ConfigFeed::ConfigFeed(common::EventLoop& aLoop,
                       Log& aLog,
                       std::uint64_t aSeed,
                       OnDocument aOnDocument)
  : loop_(aLoop)
  , log_(aLog)
  , random_(aSeed)
  , onDocument_(std::move(aOnDocument))
{
}

void ConfigFeed::Start()
{
  ReadNewest();
}

common::Duration ConfigFeed::TimeSinceLastAnswer() const
{
  return hasAnswer_ ? common::Now() - answeredAt_ : common::Duration::max();
}

void ConfigFeed::ReadNewest()
{
  log_.ReadNewest(kOperatorStream,
                  [this](const KeyedReadResult& aResult) { OnAnswer(aResult, true); });
}

void ConfigFeed::ReadNext()
{
  log_.ReadKeyed(kOperatorStream, next_, kPollWait, [this](const KeyedReadResult& aResult) {
    OnAnswer(aResult, false);
  });
}

void ConfigFeed::OnAnswer(const KeyedReadResult& aResult, bool aIsNewest)
{
  if (aResult.status_ == LogStatus::kGap && !aIsNewest) {
    ReadNewest();
    return;
  }
  if (aResult.status_ != LogStatus::kOk) {
    Retry();
    return;
  }
  if (!std::exchange(isConnected_, true)) {
    common::LogEvent(common::Severity::kInfo,
                     "dependency_reached",
                     { { "dependency", "store" }, { "next_offset", aResult.nextOffset_.Get() } });
  }
  hasAnswer_ = true;
  answeredAt_ = common::Now();
  backoff_ = common::Duration(0);
  next_ = aResult.nextOffset_;
  bool isFound = false;
  for (const KeyedRecord& record : aResult.records_) {
    if (record.key_ == kConfigKey) {
      isFound = true;
      onDocument_(record.data_);
    }
  }
  const bool isEarly = !aIsNewest && aResult.records_.empty();
  if (isEarly || (aIsNewest && !isFound)) {
    timer_ = loop_.After(kEmptyPause, [this] { ReadNext(); });
  } else {
    ReadNext();
  }
}

void ConfigFeed::Retry()
{
  if (std::exchange(isConnected_, false)) {
    common::LogEvent(common::Severity::kWarn, "dependency_lost", { { "dependency", "store" } });
  }
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMostBackoff);
  std::uniform_int_distribution<common::Duration::rep> jitter(backoff_.count() / 2,
                                                              backoff_.count());
  // The offset is kept: reading on from it gets what was written during the outage.
  const bool hasOffset = next_.Get() > 0;
  timer_ = loop_.After(common::Duration(jitter(random_)), [this, hasOffset] {
    if (hasOffset) {
      ReadNext();
    } else {
      ReadNewest();
    }
  });
}

} // namespace dandelionstand::platform
