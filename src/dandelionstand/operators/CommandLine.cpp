#include "dandelionstand/operators/CommandLine.h"

#include "dandelionstand/operators/DaemonCommands.h"
#include "dandelionstand/operators/DocumentCommands.h"
#include "dandelionstand/operators/PublishCommand.h"
#include "dandelionstand/operators/Rendering.h"

#include <memory>
#include <ostream>

namespace dandelionstand::operators {

namespace {

namespace options = boost::program_options;

using CommandList = std::vector<std::unique_ptr<Command>>;

CommandList AllCommands()
{
  CommandList commands;
  commands.push_back(std::make_unique<ValidateCommand>());
  commands.push_back(std::make_unique<DiffCommand>());
  commands.push_back(std::make_unique<PublishCommand>());
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<HistoryCommand>());
  commands.push_back(std::make_unique<DumpCommand>());
  commands.push_back(std::make_unique<LogLevelCommand>());
  return commands;
}

void PrintHelp(const CommandList& aCommands, std::ostream& aOut)
{
  aOut << "dandelionctl COMMAND [--json] ...\n";
  for (const auto& command : aCommands) {
    aOut << "  " << command->Name() << " " << command->Usage() << "\n";
  }
  aOut << "COMMAND --help prints the options of a command.\n";
}

options::variables_map Parse(const Command& aCommand,
                             const Command::Options& aVisibleOptions,
                             const std::vector<std::string>& aArguments)
{
  Command::Options allOptions;
  options::positional_options_description positional;
  allOptions.add(aVisibleOptions);
  if (!aCommand.PositionalName().empty()) {
    allOptions.add_options()(aCommand.PositionalName().c_str(), options::value<std::string>(), "");
    positional.add(aCommand.PositionalName().c_str(), 1);
  }
  options::variables_map values;
  options::store(
    options::command_line_parser(aArguments).options(allOptions).positional(positional).run(),
    values);
  return values;
}

ExitStatus RunCommand(Command& aCommand,
                      const std::vector<std::string>& aArguments,
                      Console& aConsole)
{
  Command::Options visibleOptions;
  visibleOptions.add_options()("help,h", "print this text")("json", "print JSON for programs");
  aCommand.AddOptions(visibleOptions);
  const options::variables_map values = Parse(aCommand, visibleOptions, aArguments);
  if (values.contains("help")) {
    aConsole.out_ << "dandelionctl " << aCommand.Name() << " " << aCommand.Usage() << "\n"
                  << visibleOptions;
    return ExitStatus::kOk;
  }
  aConsole.isJson_ = values.contains("json");
  return aCommand.Run(values, aConsole);
}

ExitStatus ReportFindings(const common::FindingsError& aError, Console& aConsole)
{
  if (aConsole.isJson_) {
    const nlohmann::json result = { { "valid", false },
                                    { "findings", ToJson(aError.GetFindings()) } };
    aConsole.out_ << result.dump() << "\n";
  } else {
    aConsole.err_ << aError.what();
  }
  return ExitStatus::kInvalid;
}

ExitStatus ReportUsageError(const std::exception& aError, Console& aConsole)
{
  aConsole.err_ << aError.what() << "\n";
  return ExitStatus::kUsage;
}

} // namespace

ExitStatus RunCommandLine(const std::vector<std::string>& aArguments, Console& aConsole)
{
  const CommandList commands = AllCommands();
  const std::string name = aArguments.empty() ? "" : aArguments[0];
  if (name == "--help" || name == "-h") {
    PrintHelp(commands, aConsole.out_);
    return ExitStatus::kOk;
  }
  for (const auto& command : commands) {
    if (command->Name() != name) {
      continue;
    }
    try {
      return RunCommand(*command, { aArguments.begin() + 1, aArguments.end() }, aConsole);
    } catch (const common::FindingsError& error) {
      return ReportFindings(error, aConsole);
    } catch (const UsageError& error) {
      return ReportUsageError(error, aConsole);
    } catch (const options::error& error) {
      return ReportUsageError(error, aConsole);
    }
  }
  PrintHelp(commands, aConsole.err_);
  return ExitStatus::kUsage;
}

} // namespace dandelionstand::operators
