//! The daemon that runs beside each target.

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/daemon/Daemon.h"
#include "dandelionstand/daemon/LibraryMessages.h"
#include "dandelionstand/daemon/Settings.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
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
    return ToInt(daemon::ExitStatus::kInvalidSettings);
  }
  std::stringstream text;
  text << file.rdbuf();
  common::Findings findings;
  const daemon::Settings settings = daemon::ParseSettings(text.str(), aFile, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.ToString();
    return ToInt(daemon::ExitStatus::kInvalidSettings);
  }
  if (aIsCheckOnly) {
    std::cout << aFile << ": no findings\n";
    return ToInt(daemon::ExitStatus::kOk);
  }
  common::StartBoundedEventLog(settings.instance_.Get(), settings.logLevel_);
  daemon::RedirectLibraryMessages();
  daemon::ExitStatus status = daemon::ExitStatus::kFailed;
  // Never destroyed: the destructors of the daemon, and of static objects such as the logging
  // library, may wait for threads and for each other. The system closes what is open.
  static std::unique_ptr<daemon::Daemon> instance;
  try {
    instance = std::make_unique<daemon::Daemon>(settings, aFile);
    status = instance->Run();
  } catch (const std::exception& error) {
    common::LogEvent(common::Severity::kError, "failed", { { "error", error.what() } });
  }
  common::FlushEventLog();
  std::quick_exit(ToInt(status));
}

} // namespace

int main(int argc, char** argv)
{
  // By default the signal ends the process. It has a handler later, and until then the settings are
  // still to be read.
  std::signal(SIGHUP, SIG_IGN);
  options::options_description description("dandelion-daemon [--check] --settings FILE");
  description.add_options()("help,h", "print this text")(
    "settings,s", options::value<std::string>(), "settings file, JSON with comments")(
    "check", "check the settings and exit");
  try {
    options::variables_map variables;
    options::store(options::parse_command_line(argc, argv, description), variables);
    if (variables.contains("help")) {
      std::cout << description;
      return EXIT_SUCCESS;
    }
    if (!variables.contains("settings")) {
      std::cerr << "--settings is missing\n" << description;
      return ToInt(daemon::ExitStatus::kInvalidSettings);
    }
    return RunDaemon(variables["settings"].as<std::string>(), variables.contains("check"));
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    return ToInt(daemon::ExitStatus::kInvalidSettings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return ToInt(daemon::ExitStatus::kFailed);
  }
}
