#include "dandelionstand/load/ChildProcess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

namespace dandelionstand::load {

namespace {

constexpr std::chrono::milliseconds kPollInterval(5);
constexpr int kSignalStatusBase = 128;
constexpr int kExecFailedStatus = 127;
constexpr mode_t kOutputFileMode = 0644;

std::vector<char*> MakeArguments(const ChildCommand& aCommand)
{
  std::vector<char*> arguments = { const_cast<char*>(aCommand.program_.c_str()) };
  for (const std::string& argument : aCommand.arguments_) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  return arguments;
}

//! Blocks all signals of the calling thread while it exists, so that the child does not run signal
//! handlers of the parent before they are reset.
class SignalBlock
{
public:
  SignalBlock()
  {
    sigset_t allSignals;
    sigfillset(&allSignals);
    pthread_sigmask(SIG_SETMASK, &allSignals, &previousMask_);
  }
  ~SignalBlock() { Restore(); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

  void Restore() const { pthread_sigmask(SIG_SETMASK, &previousMask_, nullptr); }

private:
  sigset_t previousMask_{};
};

void ResetSignalHandlers()
{
  for (const int number : { SIGTERM, SIGINT, SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2 }) {
    std::signal(number, SIG_DFL);
  }
}

//! Runs in the child between fork and exec, so it may only call async-signal-safe functions.
[[noreturn]] void ExecuteChild(const std::vector<char*>& aArguments,
                               int aOutputFd,
                               int aParentPid,
                               const SignalBlock& aSignalBlock)
{
  ResetSignalHandlers();
  aSignalBlock.Restore();
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParentPid) {
    _exit(kExecFailedStatus);
  }
  dup2(aOutputFd, STDOUT_FILENO);
  dup2(aOutputFd, STDERR_FILENO);
  execv(aArguments.front(), aArguments.data());
  _exit(kExecFailedStatus);
}

int OpenOutput(const std::string& aPath)
{
  const std::string path = aPath.empty() ? "/dev/null" : aPath;
  const int outputFd =
    open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOutputFileMode);
  if (outputFd < 0) {
    throw std::system_error(errno, std::generic_category(), "cannot open " + path);
  }
  return outputFd;
}

} // namespace

ChildProcess::ChildProcess(const ChildCommand& aCommand)
{
  const std::vector<char*> arguments = MakeArguments(aCommand);
  const int outputFd = OpenOutput(aCommand.outputFile_);
  const int parentPid = getpid();
  const SignalBlock signalBlock;
  pid_ = fork();
  if (pid_ == 0) {
    ExecuteChild(arguments, outputFd, parentPid, signalBlock);
  }
  const int error = errno;
  close(outputFd);
  if (pid_ < 0) {
    throw std::system_error(error, std::generic_category(), "cannot start " + aCommand.program_);
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
  , exitStatus_(std::exchange(aOther.exitStatus_, std::nullopt))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  std::swap(pid_, aOther.pid_);
  std::swap(exitStatus_, aOther.exitStatus_);
  return *this;
}

bool ChildProcess::IsRunning()
{
  return pid_ > 0 && !TryReap();
}

void ChildProcess::SendSignal(int aSignal)
{
  if (IsRunning()) {
    kill(pid_, aSignal);
  }
}

std::optional<int> ChildProcess::Wait(common::Duration aTimeout)
{
  const common::TimePoint end = common::Now() + aTimeout;
  while (IsRunning() && common::Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return exitStatus_;
}

void ChildProcess::Kill()
{
  if (!IsRunning()) {
    return;
  }
  kill(pid_, SIGKILL);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  exitStatus_ = kSignalStatusBase + SIGKILL;
}

bool ChildProcess::TryReap()
{
  if (exitStatus_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalStatusBase + WTERMSIG(status);
  return true;
}

} // namespace dandelionstand::load
