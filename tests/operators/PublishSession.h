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
  using Fault = std::function<AppendFault()>;

  PublishSession(FakeLog& aLog, operators::PublishRequest aRequest, Fault aFault);

  //! Carries out the pending action and feeds its result back; time moves by the action's wait.
  void Step();
  //! Steps until the outcome is reported.
  const operators::PublishOutcome& Run();

  bool IsDone() const { return outcome_.has_value(); }
  const operators::PublishOutcome& Outcome() const { return *outcome_; }
  std::size_t Appends() const { return appends_; }
  //! Whether the next step is an append.
  bool IsAppendNext() const;
  common::TimePoint Time() const { return now_; }
  void Wait(common::Duration aTime) { now_ += aTime; }
  //! Events and actions, a line each.
  const std::string& Protocol() const { return protocol_; }

private:
  void Write(const std::string& aLine);
  void Take(operators::PublishAction aAction);
  operators::PublishAction Do(const operators::ReadLog& aRead);
  operators::PublishAction Do(const operators::AppendToLog& aAppend);
  operators::PublishAction Do(const operators::Pause& aPause);
  operators::PublishAction Do(const operators::ReportOutcome& aReport);

  FakeLog& log_;
  Fault fault_;
  operators::Publisher publisher_;
  common::TimePoint now_;
  operators::PublishAction pending_;
  std::size_t appends_ = 0;
  std::optional<operators::PublishOutcome> outcome_;
  std::string protocol_;
};

//! A request that sets the slots of the limits "shop" in an otherwise equal document.
operators::PublishRequest SlotsRequest(const config::ConfigState& aPresent,
                                       const std::string& aId,
                                       std::uint32_t aSlots);

} // namespace dandelionstand::tests

#endif // tests_operators_PublishSession_h
