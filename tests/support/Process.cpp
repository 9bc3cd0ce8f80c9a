#include "tests/support/Process.h"

#include "tests/support/TempDir.h"
#include "tests/support/Wait.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

namespace {

constexpr int kExitExecFailed = 127;
constexpr mode_t kLogMode = 0644;

std::string ProgramPath(const std::string& aProgram)
{
  return aProgram.find('/') == std::string::npos ? std::string(DANDELION_BIN_DIR) + "/" + aProgram
                                                 : aProgram;
}

//! Replaces the child process by the program. Runs between fork and exec, so it must not allocate.
[[noreturn]] void ExecProgram(const char* aPath, char* const* aArguments, const char* aLogPath)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(aLogPath, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(aPath, aArguments);
  _exit(kExitExecFailed);
}

std::optional<std::string> FindField(const std::string& aLog,
                                     const std::string& aEvent,
                                     const std::string& aKey)
{
  std::istringstream lines(aLog);
  for (std::string line; std::getline(lines, line);) {
    const std::string padded = " " + line + " ";
    const std::string keyPrefix = " " + aKey + "=";
    const std::size_t keyPosition = padded.find(keyPrefix);
    if (padded.find(" event=" + aEvent + " ") == std::string::npos ||
        keyPosition == std::string::npos) {
      continue;
    }
    const std::size_t valueBegin = keyPosition + keyPrefix.size();
    return padded.substr(valueBegin, padded.find(' ', valueBegin) - valueBegin);
  }
  return std::nullopt;
}

} // namespace

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 std::filesystem::path aLogPath)
  : logPath_(std::move(aLogPath))
{
  const std::string path = ProgramPath(aProgram);
  std::vector<std::string> argumentTexts = aArguments;
  argumentTexts.insert(argumentTexts.begin(), path);
  std::vector<char*> argumentPointers;
  for (std::string& argument : argumentTexts) {
    argumentPointers.push_back(argument.data());
  }
  argumentPointers.push_back(nullptr);
  if (access(path.c_str(), X_OK) != 0) {
    throw std::runtime_error("not an executable file: " + path);
  }
  id_ = fork();
  if (id_ == 0) {
    ExecProgram(path.c_str(), argumentPointers.data(), logPath_.c_str());
  }
  if (id_ < 0) {
    throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  }
}

Process::~Process()
{
  if (!result_) {
    kill(id_, SIGKILL);
    Reap(0);
  }
}

bool Process::Reap(int aWaitFlags)
{
  int status = 0;
  if (result_ || waitpid(id_, &status, aWaitFlags) != id_) {
    return result_.has_value();
  }
  result_ =
    WIFSIGNALED(status) ? ExitResult{ 0, WTERMSIG(status) } : ExitResult{ WEXITSTATUS(status), 0 };
  return true;
}

bool Process::IsRunning()
{
  return !Reap(WNOHANG);
}

void Process::Signal(int aSignal)
{
  // The system may reuse the id once the process is reaped.
  if (IsRunning()) {
    kill(id_, aSignal);
  }
}

void Process::Pause()
{
  Signal(SIGSTOP);
}

void Process::Continue()
{
  Signal(SIGCONT);
}

void Process::Terminate()
{
  Signal(SIGTERM);
}

void Process::Kill()
{
  Signal(SIGKILL);
  Reap(0);
}

std::optional<ExitResult> Process::Wait(std::chrono::milliseconds aTimeout)
{
  WaitUntil([this]() { return Reap(WNOHANG); }, aTimeout);
  return result_;
}

std::string Process::Log() const
{
  std::ifstream file(logPath_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Process::WaitForField(const std::string& aEvent, const std::string& aKey)
{
  std::optional<std::string> value;
  WaitUntil([&]() {
    const bool hasExited = !IsRunning();
    value = FindField(Log(), aEvent, aKey);
    return value.has_value() || hasExited;
  });
  if (!value) {
    throw std::runtime_error("no event=" + aEvent + " with " + aKey + " in:\n" + Log());
  }
  return *value;
}

RunResult RunToEnd(const std::string& aProgram, const std::vector<std::string>& aArguments)
{
  const TempDir folder;
  Process process(aProgram, aArguments, folder.Path() / "output");
  const std::optional<ExitResult> exit = process.Wait();
  if (!exit) {
    throw std::runtime_error(aProgram + " did not end in time:\n" + process.Log());
  }
  return { *exit, process.Log() };
}

} // namespace dandelionstand::tests
