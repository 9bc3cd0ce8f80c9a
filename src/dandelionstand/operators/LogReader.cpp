#include "dandelionstand/operators/LogReader.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/platform/Log.h"

#include <iterator>
#include <utility>

namespace dandelionstand::operators {

namespace {

using namespace std::chrono_literals;

const platform::StreamName kStream(config::kConfigStream);
constexpr common::Duration kRetryDelay = 250ms;

} // namespace

LogReader::LogReader(common::EventLoop& aLoop, platform::Log& aLog, common::Duration aTimeout)
  : loop_(aLoop)
  , log_(aLog)
  , deadline_(common::Now() + aTimeout)
{
}

LogReader::~LogReader() = default;

void LogReader::Start(DoneCallback aDone)
{
  done_ = std::move(aDone);
  ReadNext();
}

void LogReader::ReadNext()
{
  log_.Read(kStream,
            replica_.NextOffset(),
            common::Duration(0),
            [this](const platform::ReadResult& aResult) { OnRead(aResult); });
}

void LogReader::OnRead(const platform::ReadResult& aResult)
{
  if (aResult.status_ == platform::LogStatus::kGap) {
    replica_.OnGap(aResult.firstOffset_);
  }
  for (const platform::Record& record : aResult.records_) {
    const common::Offset previous(replica_.NextOffset().Get() - 1);
    std::vector<config::EvaluatedRecord> evaluated =
      replica_.OnRecord(previous, { record.offset_, record.data_ });
    std::move(evaluated.begin(), evaluated.end(), std::back_inserter(records_));
  }
  const bool isOk = aResult.status_ == platform::LogStatus::kOk;
  if (isOk && replica_.NextOffset() >= aResult.endOffset_) {
    return done_(!replica_.HasGap());
  }
  if (common::Now() >= deadline_) {
    return done_(false);
  }
  const bool isAvailable = isOk || aResult.status_ == platform::LogStatus::kGap;
  retryTimer_ =
    loop_.After(isAvailable ? common::Duration(0) : kRetryDelay, [this] { ReadNext(); });
}

} // namespace dandelionstand::operators
