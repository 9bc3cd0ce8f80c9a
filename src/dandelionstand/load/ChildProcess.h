#ifndef dandelionstand_load_ChildProcess_h
#define dandelionstand_load_ChildProcess_h

#include "dandelionstand/common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

struct ChildCommand
{
  std::string program_; //!< Path of the binary.
  std::vector<std::string> arguments_;
  std::string outputFile_; //!< Standard output and error are appended to it; empty discards them.
};

//! A child process. It is killed when this object is destroyed or the parent process ends.
class ChildProcess
{
public:
  //! Starts the program. Throws std::system_error if the output file cannot be opened or the fork
  //! fails; if the program cannot be executed, the exit status is 127.
  explicit ChildProcess(const ChildCommand& aCommand);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  int Pid() const { return pid_; }
  bool IsRunning();
  //! Does nothing if the process has ended.
  void SendSignal(int aSignal);
  //! Waits until the process has ended or aTimeout has passed. Returns the exit status or
  //! 128 + signal number; none if it is still running.
  std::optional<int> Wait(common::Duration aTimeout);
  //! Sends SIGKILL and waits until the process has ended.
  void Kill();

private:
  //! Collects the exit status without blocking; whether the process has ended.
  bool TryReap();

  int pid_ = -1;
  std::optional<int> exitStatus_; //!< Set when the process has ended.
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_ChildProcess_h
