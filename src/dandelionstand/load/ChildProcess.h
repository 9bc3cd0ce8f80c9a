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
  std::string outputFile_; //!< Takes standard output and standard error; appended to.
};

//! A process that this one started. It is killed when this object or its parent ends.
class ChildProcess
{
public:
  //! Starts it; throws std::system_error if there can be no new process.
  explicit ChildProcess(const ChildCommand& aCommand);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  int Pid() const { return pid_; }
  bool IsRunning();
  //! Sends a signal unless it has ended.
  void Signal(int aSignal);
  //! Waits for its end, at most aLimit. The exit status, 128 + signal, or none if it still runs.
  std::optional<int> Wait(common::Duration aLimit);
  //! Kills it and waits for its end.
  void Kill();

private:
  bool Reap();

  int pid_ = -1;
  std::optional<int> status_; //!< Set once it has ended.
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_ChildProcess_h
