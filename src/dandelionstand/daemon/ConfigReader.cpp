#include "dandelionstand/daemon/ConfigReader.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/platform/Log.h"

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

const platform::StreamName kConfigStream("config");
constexpr common::Duration kReadWait = 10s;
constexpr common::Duration kRetryDelay = 250ms;

} // namespace

ConfigReader::ConfigReader(common::EventLoop& aLoop,
                           common::Counters& aCounters,
                           platform::Log& aLog)
  : loop_(aLoop)
  , counters_(aCounters)
  , log_(aLog)
  , state_(std::make_shared<const config::ConfigState>())
{
  ReadNext();
}

ConfigReader::~ConfigReader() = default;

void ConfigReader::ReadNext()
{
  // The first read must not wait: an empty stream is a configuration without routes.
  const common::Duration wait = hasReachedEnd_ ? kReadWait : common::Duration(0);
  log_.Read(
    kConfigStream, next_, wait, [this](const platform::ReadResult& aResult) { OnRead(aResult); });
}

void ConfigReader::OnRead(const platform::ReadResult& aResult)
{
  for (const platform::Record& record : aResult.records_) {
    Apply(record);
  }
  const bool isOk = aResult.status_ == platform::LogStatus::kOk;
  if (isOk && next_ >= aResult.next_) {
    hasReachedEnd_ = true;
  }
  again_ = loop_.After(isOk ? common::Duration(0) : kRetryDelay, [this] { ReadNext(); });
}

void ConfigReader::Apply(const platform::Record& aRecord)
{
  if (aRecord.offset_ < next_) {
    return;
  }
  next_ = common::Offset(aRecord.offset_.Get() + 1);
  const config::AcceptResult result = config::Accept(*state_, aRecord.offset_, aRecord.data_);
  if (!result.next_) {
    counters_.Add("config_records_refused_total");
    common::LogEvent(
      common::Severity::kWarn,
      "config_refused",
      { { "offset", aRecord.offset_.Get() }, { "findings", result.findings_.ToString() } });
    return;
  }
  state_ = result.next_;
  counters_.Set("config_version", state_->version_.Get());
  common::LogEvent(
    common::Severity::kInfo, "config_in_force", { { "version", state_->version_.Get() } });
}

} // namespace dandelionstand::daemon
