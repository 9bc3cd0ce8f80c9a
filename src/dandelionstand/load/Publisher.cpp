#include "dandelionstand/load/Publisher.h"

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/Publish.h"
#include "dandelionstand/load/Fetch.h"

#include <stdexcept>

namespace dandelionstand::load {

namespace {

constexpr int kMostAttempts = 20;
constexpr common::Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr const char* kStream = "config";

} // namespace

Publisher::Publisher(common::EventLoop& aLoop, const common::Address& aLog)
  : loop_(aLoop)
  , log_(aLoop, { .address_ = aLog, .sourceAddress_ = "" }, counters_)
{
}

PublishedVersion Publisher::Publish(const config::ConfigState& aDocument)
{
  config::PublishRecord record;
  record.publishId_ = config::PublishId("experiment-" + std::to_string(++count_));
  record.operator_ = "dandelion-experiment";
  record.changes_ = config::ChangesBetween(*state_, aDocument);
  record.builtOn_ = state_->version_;
  record.publishedAtMs_ = common::WallClockMs();
  const std::string data = config::EncodePublishRecord(record);
  PublishedVersion published;
  published.recordBytes_ = data.size();
  published.sentAtMs_ = common::WallClockMs();
  const platform::AppendResult result = AppendWithRetries(data);
  const config::AcceptResult accepted = config::Accept(*state_, result.offset_, data);
  if (accepted.outcome_ != config::AcceptOutcome::kAccepted) {
    throw std::runtime_error("a generated configuration was refused: " +
                             accepted.findings_.ToString());
  }
  state_ = accepted.nextState_;
  published.version_ = state_->version_;
  return published;
}

platform::AppendResult Publisher::Append(const std::string& aRecord)
{
  platform::AppendResult result;
  log_.Append(platform::StreamName(kStream), aRecord, [&](const platform::AppendResult& aResult) {
    result = aResult;
    loop_.Stop();
  });
  loop_.Run();
  return result;
}

platform::AppendResult Publisher::AppendWithRetries(const std::string& aRecord)
{
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const platform::AppendResult result = Append(aRecord);
    if (result.status_ == platform::LogStatus::kOk) {
      return result;
    }
    // Only a refusal by the rate limit had no effect; after any other failure a repeat could
    // publish twice.
    if (result.status_ != platform::LogStatus::kOverloaded && attempt > 0) {
      break;
    }
    RunFor(loop_, kRetryDelay);
  }
  throw std::runtime_error("the log did not take a publish record");
}

} // namespace dandelionstand::load
