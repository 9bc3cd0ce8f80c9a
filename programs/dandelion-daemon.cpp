//! The daemon beside a target instance.

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/daemon/Daemon.h"
#include "dandelionstand/daemon/Settings.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

namespace {

namespace daemon = dandelionstand::daemon;
namespace common = dandelionstand::common;
namespace options = boost::program_options;

int ToInt(daemon::ExitStatus aStatus)
{
  return static_cast<int>(aStatus);
}

int RunDaemon(const std::string& aFile, bool aIsCheckOnly)
{
  std::ifstream file(aFile);
  if (!file) {
    std::cerr << aFile << ": cannot be read\n";
    return ToInt(daemon::ExitStatus::kBadSettings);
  }
  std::stringstream text;
  text << file.rdbuf();
  common::Findings findings;
  const daemon::Settings settings = daemon::ParseSettings(text.str(), aFile, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.ToString();
    return ToInt(daemon::ExitStatus::kBadSettings);
  }
  if (aIsCheckOnly) {
    std::cout << aFile << ": no findings\n";
    return ToInt(daemon::ExitStatus::kOk);
  }
  common::StartBoundedEventLog(settings.instance_.Get(), settings.logLevel_);
  daemon::ExitStatus status = daemon::ExitStatus::kFailed;
  try {
    status = daemon::Daemon(settings, aFile).Run();
  } catch (const std::exception& error) {
    common::LogEvent(common::Severity::kError, "failed", { { "error", error.what() } });
    std::cerr << error.what() << "\n";
  }
  common::FlushEventLog();
  // The threads of the logging library are waited for by its static objects, which takes longer
  // than the time that a stop may take. Everything of the daemon itself has ended by here.
  std::quick_exit(ToInt(status));
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description described("dandelion-daemon [--check] --settings FILE");
  described.add_options()("help,h", "print this text")(
    "settings,s", options::value<std::string>(), "settings file, JSON with comments")(
    "check", "check the settings and start nothing");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    if (given.contains("help")) {
      std::cout << described;
      return EXIT_SUCCESS;
    }
    if (!given.contains("settings")) {
      std::cerr << "--settings is missing\n" << described;
      return ToInt(daemon::ExitStatus::kBadSettings);
    }
    return RunDaemon(given["settings"].as<std::string>(), given.contains("check"));
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    return ToInt(daemon::ExitStatus::kBadSettings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return ToInt(daemon::ExitStatus::kFailed);
  }
}
