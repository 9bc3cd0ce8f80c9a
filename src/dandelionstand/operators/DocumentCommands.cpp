#include "dandelionstand/operators/DocumentCommands.h"

#include "dandelionstand/config/Publish.h"
#include "dandelionstand/operators/LogAccess.h"
#include "dandelionstand/operators/Rendering.h"

#include <ostream>

namespace dandelionstand::operators {

namespace {

using nlohmann::json;

ExitStatus ReportIncompleteRead(Console& aConsole, const LogReader& aReader)
{
  aConsole.err_ << (aReader.GetReplica().HasGap()
                      ? "the log has dropped records and holds no snapshot that replaces them\n"
                      : "the log could not be read to its end within --timeout\n");
  return ExitStatus::kUnavailable;
}

} // namespace

std::string ValidateCommand::Usage() const
{
  return "FILE: check a document; '-' reads the standard input";
}

void ValidateCommand::AddOptions(Options&) const {}

ExitStatus ValidateCommand::Run(const Values& aValues, Console& aConsole)
{
  const std::string path = RequiredValue(aValues, "file");
  ReadDocument(path, aConsole);
  if (aConsole.isJson_) {
    aConsole.out_ << json{ { "valid", true }, { "findings", json::array() } }.dump() << "\n";
  } else {
    aConsole.out_ << "no findings\n";
  }
  return ExitStatus::kOk;
}

std::string DiffCommand::Usage() const
{
  return "FILE --log ADDRESS: print what a publish would change";
}

void DiffCommand::AddOptions(Options& aOptions) const
{
  AddLogOptions(aOptions);
}

ExitStatus DiffCommand::Run(const Values& aValues, Console& aConsole)
{
  const config::ConfigState desired = ReadDocument(RequiredValue(aValues, "file"), aConsole);
  LogAccess access(aValues);
  LogReader reader(access.loop_, access.log_, TimeoutOf(aValues));
  if (!ReadToEnd(access, reader)) {
    return ReportIncompleteRead(aConsole, reader);
  }
  const config::ConfigState& current = *reader.GetReplica().State();
  const std::vector<config::Change> changes = config::ChangesBetween(current, desired);
  if (aConsole.isJson_) {
    const json result = { { "version", current.version_.Get() }, { "changes", ToJson(changes) } };
    aConsole.out_ << result.dump() << "\n";
  } else {
    aConsole.out_ << "against version " << current.version_.Get() << ": " << changes.size()
                  << " changes\n"
                  << ToText(changes);
  }
  return changes.empty() ? ExitStatus::kOk : ExitStatus::kDiffers;
}

std::string HistoryCommand::Usage() const
{
  return "--log ADDRESS: print the records of the log and what became of each";
}

void HistoryCommand::AddOptions(Options& aOptions) const
{
  AddLogOptions(aOptions);
}

ExitStatus HistoryCommand::Run(const Values& aValues, Console& aConsole)
{
  LogAccess access(aValues);
  LogReader reader(access.loop_, access.log_, TimeoutOf(aValues));
  if (!ReadToEnd(access, reader)) {
    return ReportIncompleteRead(aConsole, reader);
  }
  json list = json::array();
  for (const config::EvaluatedRecord& record : reader.Records()) {
    if (aConsole.isJson_) {
      list.push_back(ToJson(record));
    } else {
      aConsole.out_ << ToText(record);
    }
  }
  if (aConsole.isJson_) {
    aConsole.out_ << json{ { "records", list } }.dump() << "\n";
  }
  return ExitStatus::kOk;
}

} // namespace dandelionstand::operators
