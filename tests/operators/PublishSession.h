#ifndef tests_operators_PublishSession_h
#define tests_operators_PublishSession_h

#include "dandelionstand/operators/Publisher.h"

#include "FakeLog.h"

#include <functional>
#include <optional>
#include <string>

namespace dandelionstand::tests {

//! Runs a publisher against a fake log step by step and records a transcript.
class PublishSession
{
public:
  using FaultSource = std::function<AppendFault()>;

  PublishSession(FakeLog& aLog, operators::PublishRequest aRequest, FaultSource aNextFault);

  //! Carries out the pending action, advances the time by its wait or delay and passes the result
  //! to the publisher.
  void Step();
  //! Steps until the publisher reports its outcome.
  const operators::PublishOutcome& Run();

  bool IsDone() const { return outcome_.has_value(); }
  const operators::PublishOutcome& Outcome() const { return *outcome_; }
  std::size_t AppendCount() const { return appendCount_; }
  //! Whether the next step is an append.
  bool IsAppendNext() const;
  common::TimePoint CurrentTime() const { return now_; }
  void AdvanceTime(common::Duration aDuration) { now_ += aDuration; }
  //! One line for each event and action.
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
  operators::PublishAction pendingAction_;
  std::size_t appendCount_ = 0;
  std::optional<operators::PublishOutcome> outcome_;
  std::string transcript_;
};

//! Returns a request that changes only the slots of the limits "shop" in aCurrent.
operators::PublishRequest RequestWithSlots(const config::ConfigState& aCurrent,
                                           const std::string& aId,
                                           std::uint32_t aSlots);

} // namespace dandelionstand::tests

#endif // tests_operators_PublishSession_h
