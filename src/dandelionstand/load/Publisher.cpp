#include "dandelionstand/load/Publisher.h"

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/Publish.h"
#include "dandelionstand/load/Fetch.h"

#include <stdexcept>

namespace dandelionstand::load {

namespace {

constexpr int kMaxAttempts = 20;
constexpr common::Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr const char* kConfigStream = "config";

} // namespace

Publisher::Publisher(common::EventLoop& aLoop, const common::Address& aLog)
  : loop_(aLoop)
  , log_(aLoop, { .address_ = aLog, .sourceAddress_ = "" }, counters_)
{
}

PublishedVersion Publisher::Publish(const config::ConfigState& aConfig)
{
  config::PublishRecord record;
  record.publishId_ = config::PublishId("experiment-" + std::to_string(++publishCount_));
  record.operator_ = "dandelion-experiment";
  record.changes_ = config::ChangesBetween(*publishedState_, aConfig);
  record.builtOn_ = publishedState_->version_;
  record.publishedAtMs_ = common::WallClockMs();
  const std::string encodedRecord = config::EncodePublishRecord(record);
  PublishedVersion published;
  published.recordBytes_ = encodedRecord.size();
  published.sentAtMs_ = common::WallClockMs();
  const platform::AppendResult result = AppendWithRetries(encodedRecord);
  const config::AcceptResult acceptance =
    config::Accept(*publishedState_, result.offset_, encodedRecord);
  if (acceptance.outcome_ != config::AcceptOutcome::kAccepted) {
    throw std::runtime_error("generated configuration was refused: " +
                             acceptance.findings_.ToString());
  }
  publishedState_ = acceptance.nextState_;
  published.version_ = publishedState_->version_;
  return published;
}

platform::AppendResult Publisher::Append(const std::string& aRecord)
{
  platform::AppendResult result;
  log_.Append(
    platform::StreamName(kConfigStream), aRecord, [&](const platform::AppendResult& aResult) {
      result = aResult;
      loop_.Stop();
    });
  loop_.Run();
  return result;
}

platform::AppendResult Publisher::AppendWithRetries(const std::string& aRecord)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const platform::AppendResult result = Append(aRecord);
    if (result.status_ == platform::LogStatus::kOk) {
      return result;
    }
    // A rate-limited append had no effect and may be repeated. After any other failure the record
    // may be in the log already, so a repeat could publish it twice; only a failed first attempt is
    // repeated nevertheless.
    if (result.status_ != platform::LogStatus::kOverloaded && attempt > 0) {
      break;
    }
    RunFor(loop_, kRetryDelay);
  }
  throw std::runtime_error("the log did not accept a publish record");
}

} // namespace dandelionstand::load
