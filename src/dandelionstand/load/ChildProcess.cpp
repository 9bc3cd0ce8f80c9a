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
constexpr int kCannotExecute = 127;
constexpr mode_t kOutputMode = 0644;

std::vector<char*> MakeArguments(const ChildCommand& aCommand)
{
  std::vector<char*> arguments = { const_cast<char*>(aCommand.program_.c_str()) };
  for (const std::string& argument : aCommand.arguments_) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  return arguments;
}

//! Holds back all signals while it lives, so that none reaches a handler of the parent in the
//! child.
class SignalBlock
{
public:
  SignalBlock()
  {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~SignalBlock() { Restore(); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

  void Restore() const { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }

private:
  sigset_t before_{};
};

void ResetSignalHandlers()
{
  for (const int number : { SIGTERM, SIGINT, SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2 }) {
    std::signal(number, SIG_DFL);
  }
}

//! The part between fork and exec; only async-signal-safe calls.
[[noreturn]] void Execute(const std::vector<char*>& aArguments,
                          int aOutput,
                          int aParent,
                          const SignalBlock& aBlock)
{
  ResetSignalHandlers();
  aBlock.Restore();
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kCannotExecute);
  }
  dup2(aOutput, STDOUT_FILENO);
  dup2(aOutput, STDERR_FILENO);
  execv(aArguments.front(), aArguments.data());
  _exit(kCannotExecute);
}

int OpenOutput(const std::string& aPath)
{
  const std::string path = aPath.empty() ? "/dev/null" : aPath;
  const int output = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOutputMode);
  if (output < 0) {
    throw std::system_error(errno, std::generic_category(), "cannot open " + path);
  }
  return output;
}

} // namespace

ChildProcess::ChildProcess(const ChildCommand& aCommand)
{
  const std::vector<char*> arguments = MakeArguments(aCommand);
  const int output = OpenOutput(aCommand.outputFile_);
  const int parent = getpid();
  const SignalBlock block;
  pid_ = fork();
  if (pid_ == 0) {
    Execute(arguments, output, parent, block);
  }
  const int error = errno;
  close(output);
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
  , status_(std::exchange(aOther.status_, std::nullopt))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  std::swap(pid_, aOther.pid_);
  std::swap(status_, aOther.status_);
  return *this;
}

bool ChildProcess::IsRunning()
{
  return pid_ > 0 && !Reap();
}

void ChildProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(pid_, aSignal);
  }
}

std::optional<int> ChildProcess::Wait(common::Duration aLimit)
{
  const common::TimePoint end = common::Now() + aLimit;
  while (IsRunning() && common::Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return status_;
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
  status_ = kSignalStatusBase + SIGKILL;
}

bool ChildProcess::Reap()
{
  if (status_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalStatusBase + WTERMSIG(status);
  return true;
}

} // namespace dandelionstand::load
