#include "dandelionstand/operators/PublishTask.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/StreamRecord.h"

#include <utility>

namespace dandelionstand::operators {

namespace {

const platform::StreamName kStream(config::kConfigStream);

} // namespace

PublishTask::PublishTask(common::EventLoop& aLoop,
                         platform::Log& aLog,
                         PublisherSettings aSettings,
                         PublishRequest aRequest)
  : loop_(aLoop)
  , log_(aLog)
  , publisher_(aSettings, std::move(aRequest))
{
}

PublishTask::~PublishTask() = default;

void PublishTask::Start(ProgressCallback aProgress, DoneCallback aDone)
{
  progress_ = std::move(aProgress);
  done_ = std::move(aDone);
  Dispatch(publisher_.Start(common::Now()));
}

void PublishTask::Dispatch(const PublishAction& aAction)
{
  std::visit([this](const auto& aStep) { Execute(aStep); }, aAction);
}

void PublishTask::Execute(const ReadLog& aRead)
{
  log_.Read(kStream, aRead.startOffset_, aRead.wait_, [this](const platform::ReadResult& aResult) {
    Dispatch(publisher_.OnRead(common::Now(), aResult));
  });
}

void PublishTask::Execute(const AppendToLog& aAppend)
{
  progress_("append of " + std::to_string(aAppend.data_.size()) + " bytes");
  log_.Append(kStream, aAppend.data_, [this](const platform::AppendResult& aResult) {
    if (aResult.status_ != platform::LogStatus::kOk) {
      progress_("no offset from the log; looking the record up");
    }
    Dispatch(publisher_.OnAppend(common::Now(), aResult));
  });
}

void PublishTask::Execute(const Pause& aPause)
{
  progress_("the log request failed; retrying");
  retryTimer_ = loop_.After(aPause.delay_, [this] { Dispatch(publisher_.OnTimer(common::Now())); });
}

void PublishTask::Execute(const ReportOutcome& aReport)
{
  done_(aReport.outcome_);
}

} // namespace dandelionstand::operators
