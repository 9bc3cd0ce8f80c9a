#include "PublishSession.h"

#include "dandelionstand/operators/Rendering.h"

#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

using namespace operators;

namespace {

const char* NameOf(platform::LogStatus aStatus)
{
  switch (aStatus) {
    case platform::LogStatus::kOk:
      return "ok";
    case platform::LogStatus::kUnavailable:
      return "unavailable";
    case platform::LogStatus::kOverloaded:
      return "overloaded";
    case platform::LogStatus::kGap:
      return "gap";
    case platform::LogStatus::kRejected:
      return "rejected";
  }
  return "";
}

std::string OffsetText(common::Offset aOffset)
{
  return std::to_string(aOffset.Get());
}

std::string Milliseconds(common::Duration aDuration)
{
  return std::to_string(aDuration.count() / 1000) + "ms";
}

} // namespace

PublishSession::PublishSession(FakeLog& aLog, PublishRequest aRequest, FaultSource aNextFault)
  : log_(aLog)
  , nextFault_(std::move(aNextFault))
  , publisher_(PublisherSettings{}, std::move(aRequest))
  , pendingAction_(publisher_.Start(now_))
{
  WriteLine("in  start");
}

void PublishSession::WriteLine(const std::string& aLine)
{
  transcript_ += Milliseconds(now_.time_since_epoch()) + " " + aLine + "\n";
}

void PublishSession::Step()
{
  const PublishAction action = pendingAction_;
  pendingAction_ = std::visit([this](const auto& aStep) { return Execute(aStep); }, action);
}

const PublishOutcome& PublishSession::Run()
{
  constexpr int kMaxSteps = 1'000;
  for (int step = 0; !IsDone(); ++step) {
    if (step == kMaxSteps) {
      throw std::logic_error("the publisher did not report an outcome within the step limit");
    }
    Step();
  }
  return *outcome_;
}

bool PublishSession::IsAppendNext() const
{
  return std::holds_alternative<AppendToLog>(pendingAction_);
}

PublishAction PublishSession::Execute(const ReadLog& aRead)
{
  WriteLine("out read from " + OffsetText(aRead.startOffset_) + " wait " +
            Milliseconds(aRead.wait_));
  const platform::ReadResult result = log_.Read(aRead.startOffset_);
  if (result.records_.empty()) {
    now_ += aRead.wait_;
  }
  WriteLine(std::string("in  read ") + NameOf(result.status_) + " records " +
            std::to_string(result.records_.size()) + " first " + OffsetText(result.firstOffset_) +
            " next " + OffsetText(result.endOffset_));
  return publisher_.OnRead(now_, result);
}

PublishAction PublishSession::Execute(const AppendToLog& aAppend)
{
  ++appendCount_;
  WriteLine("out append");
  const platform::AppendResult result = log_.Append(aAppend.data_, nextFault_());
  WriteLine(std::string("in  append ") + NameOf(result.status_) + " offset " +
            OffsetText(result.offset_));
  return publisher_.OnAppend(now_, result);
}

PublishAction PublishSession::Execute(const Pause& aPause)
{
  WriteLine("out pause " + Milliseconds(aPause.delay_));
  now_ += aPause.delay_;
  WriteLine("in  timer");
  return publisher_.OnTimer(now_);
}

PublishAction PublishSession::Execute(const ReportOutcome& aReport)
{
  WriteLine("out report " + ToJson(aReport.outcome_).dump());
  outcome_ = aReport.outcome_;
  return aReport;
}

PublishRequest RequestWithSlots(const config::ConfigState& aCurrent,
                                const std::string& aId,
                                std::uint32_t aSlots)
{
  PublishRequest request{ config::PublishId(aId), "operator", aCurrent, std::nullopt, 0 };
  request.desiredState_.limits_[config::LimitsName("shop")].value_.slots_ = aSlots;
  return request;
}

} // namespace dandelionstand::tests
