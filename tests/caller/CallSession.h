#ifndef dandelionstand_tests_caller_CallSession_h
#define dandelionstand_tests_caller_CallSession_h

#include "dandelionstand/caller/CallMachine.h"
#include "dandelionstand/caller/RetryBudget.h"

#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace dandelionstand::caller::test {

//! Plays the events of a golden session ("> " lines) on a CallMachine and writes them down with the
//! actions that follow each.
class CallSession
{
public:
  std::string Play(const std::string& aSession);

private:
  CallActions Apply(const std::string& aEvent);
  void Prepare(std::istringstream& aWords);
  CallActions ApplyToMachine(const std::string& aKind, std::istringstream& aWords);
  AttemptHead ReadHead(std::istringstream& aWords) const;
  AttemptFailed ReadFailed(std::istringstream& aWords) const;

  std::unique_ptr<EndpointPicker> picker_;
  std::unique_ptr<RetryBudget> budget_;
  std::unique_ptr<CallMachine> machine_;
  std::map<std::uint32_t, std::string> bodies_;
  common::TimePoint now_;
};

} // namespace dandelionstand::caller::test

#endif // dandelionstand_tests_caller_CallSession_h
