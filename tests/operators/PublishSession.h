#ifndef tests_operators_PublishSession_h
#define tests_operators_PublishSession_h

#include "dandelionstand/operators/Publisher.h"

#include "FakeLog.h"

#include <functional>
#include <optional>
#include <string>

namespace dandelionstand::tests {

//! One publisher against a fake log, step by step, with a written protocol.
class PublishSession
{
public:
  using FaultSource = std::function<AppendFault()>;

  PublishSession(FakeLog& aLog, operators::PublishRequest aRequest, FaultSource aNextFault);

  //! Carries out the pending action and feeds its result back; time moves by the action's wait.
  void Step();
  //! Steps until the outcome is reported.
  const operators::PublishOutcome& Run();

  bool IsDone() const { return outcome_.has_value(); }
  const operators::PublishOutcome& Outcome() const { return *outcome_; }
  std::size_t AppendCount() const { return appendCount_; }
  //! Whether the next step is an append.
  bool IsAppendNext() const;
  common::TimePoint CurrentTime() const { return now_; }
  void AdvanceTime(common::Duration aTime) { now_ += aTime; }
  //! Events and actions, a line each.
  const std::string& Transcript() const { return transcript_; }

private:
  void WriteLine(const std::string& aLine);
  void Take(operators::PublishAction aAction);
  operators::PublishAction Execute(const operators::ReadLog& aRead);
  operators::PublishAction Execute(const operators::AppendToLog& aAppend);
  operators::PublishAction Execute(const operators::Pause& aPause);
  operators::PublishAction Execute(const operators::ReportOutcome& aReport);

  FakeLog& log_;
  FaultSource nextFault_;
  operators::Publisher publisher_;
  common::TimePoint now_;
  operators::PublishAction pending_;
  std::size_t appendCount_ = 0;
  std::optional<operators::PublishOutcome> outcome_;
  std::string transcript_;
};

//! A request that sets the slots of the limits "shop" in an otherwise equal document.
operators::PublishRequest RequestWithSlots(const config::ConfigState& aCurrent,
                                           const std::string& aId,
                                           std::uint32_t aSlots);

} // namespace dandelionstand::tests

#endif // tests_operators_PublishSession_h
