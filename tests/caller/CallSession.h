#ifndef dandelionstand_tests_caller_CallSession_h
#define dandelionstand_tests_caller_CallSession_h

#include "dandelionstand/caller/CallMachine.h"
#include "dandelionstand/caller/RetryBudget.h"

#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace dandelionstand::caller::test {

//! Replays the events of a golden session (lines that start with "> ") on a CallMachine and records
//! each event with the resulting actions.
class CallSession
{
public:
  std::string Replay(const std::string& aSession);

private:
  CallActions Apply(const std::string& aEvent);
  void SetUpCall(std::istringstream& aWords);
  CallActions ApplyToMachine(const std::string& aKind, std::istringstream& aWords);
  AttemptHead ParseHead(std::istringstream& aWords) const;
  AttemptFailed ParseFailed(std::istringstream& aWords) const;

  std::unique_ptr<EndpointPicker> picker_;
  std::unique_ptr<RetryBudget> budget_;
  std::unique_ptr<CallMachine> machine_;
  std::map<std::uint32_t, std::string> bodies_;
  common::TimePoint now_;
};

} // namespace dandelionstand::caller::test

#endif // dandelionstand_tests_caller_CallSession_h
