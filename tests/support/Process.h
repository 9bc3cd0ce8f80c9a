#ifndef dandelionstand_tests_support_Process_h
#define dandelionstand_tests_support_Process_h

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! How a process ended.
struct ExitResult
{
  int status_ = 0; //!< Exit status, if it was not ended by a signal.
  int signal_ = 0; //!< 0, or the signal that ended it.

  bool operator==(const ExitResult&) const = default;
};

//! A child process, addressed by its id alone. It is killed and reaped at destruction, and killed
//! by the system if the thread that started it ends first.
class Process
{
public:
  //! Starts a program of the build's bin folder (or any program by its path). Standard output and
  //! error are appended to aLog.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          std::filesystem::path aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  bool IsRunning();

  void Signal(int aSignal);
  void Pause();     //!< SIGSTOP.
  void Continue();  //!< SIGCONT.
  void Terminate(); //!< SIGTERM; does not wait.
  //! SIGKILL, and waits for the end.
  void Kill();

  //! Waits for the end; none if it still runs after aDeadline.
  std::optional<ExitResult> Wait(std::chrono::milliseconds aDeadline = std::chrono::seconds(60));

  //! Everything written so far, also by earlier processes with the same log.
  std::string Log() const;
  //! Value of aKey in the first line with `event=<aEvent>`; waits for it, throws if none comes.
  std::string WaitForField(const std::string& aEvent, const std::string& aKey);

private:
  bool Reap(int aFlags);

  std::filesystem::path log_;
  pid_t id_ = -1;
  std::optional<ExitResult> result_;
};

//! Runs a program to its end.
struct RunResult
{
  ExitResult exit_;
  std::string output_; //!< Standard output and error.
};
RunResult RunToEnd(const std::string& aProgram, const std::vector<std::string>& aArguments);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Process_h
