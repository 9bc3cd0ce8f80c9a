#include "dandelionstand/operators/DaemonCommands.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/operators/AdminClient.h"
#include "dandelionstand/operators/FleetStatus.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace dandelionstand::operators {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kTimeout = 5s;

void AddDaemonOption(Command::Options& aOptions)
{
  namespace options = boost::program_options;
  aOptions.add_options()(
    "daemon", options::value<std::string>()->value_name("ADDRESS"), "admin address of a daemon");
}

AdminClient ClientFor(const Command::Values& aValues)
{
  return { RequiredAddress(aValues, "daemon"), kTimeout };
}

ExitStatus ReportError(Console& aConsole, const std::string& aError)
{
  aConsole.err_ << aError << "\n";
  return ExitStatus::kUnavailable;
}

} // namespace

std::string StatusCommand::Usage() const
{
  return "--daemon ADDRESS: print the versions in force by failure domain";
}

void StatusCommand::AddOptions(Options& aOptions) const
{
  AddDaemonOption(aOptions);
}

ExitStatus StatusCommand::Run(const Values& aValues, Console& aConsole)
{
  AdminClient client = ClientFor(aValues);
  const std::optional<std::string> answer = client.Get("/status");
  if (!answer) {
    return ReportError(aConsole, client.Error());
  }
  common::Findings findings;
  const FleetStatus status = ParseFleetStatus(*answer, findings);
  if (!findings.IsEmpty()) {
    return ReportError(aConsole, findings.ToString());
  }
  aConsole.out_ << (aConsole.isJson_ ? nlohmann::json::parse(*answer).dump() + "\n"
                                     : ToText(status));
  return ExitStatus::kOk;
}

std::string DumpCommand::Usage() const
{
  return "--daemon ADDRESS: print the state of one daemon as JSON";
}

void DumpCommand::AddOptions(Options& aOptions) const
{
  AddDaemonOption(aOptions);
}

ExitStatus DumpCommand::Run(const Values& aValues, Console& aConsole)
{
  AdminClient client = ClientFor(aValues);
  const std::optional<std::string> answer = client.Get("/dump");
  if (!answer) {
    return ReportError(aConsole, client.Error());
  }
  aConsole.out_ << *answer;
  return ExitStatus::kOk;
}

std::string LogLevelCommand::Usage() const
{
  return "LEVEL --daemon ADDRESS: log debug, info, warn or error and what is above";
}

void LogLevelCommand::AddOptions(Options& aOptions) const
{
  AddDaemonOption(aOptions);
}

ExitStatus LogLevelCommand::Run(const Values& aValues, Console& aConsole)
{
  const std::string level = RequiredValue(aValues, "level");
  common::Severity ignored{};
  if (!common::ParseSeverity(level, ignored)) {
    throw UsageError("the level must be debug, info, warn or error");
  }
  AdminClient client = ClientFor(aValues);
  const std::optional<std::string> answer = client.Post("/log-level", level);
  if (!answer) {
    return ReportError(aConsole, client.Error());
  }
  aConsole.out_ << (aConsole.isJson_ ? *answer : "log level " + level + "\n");
  return ExitStatus::kOk;
}

} // namespace dandelionstand::operators
