#ifndef dandelionstand_tests_support_Process_h
#define dandelionstand_tests_support_Process_h

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! Exit status or signal of an ended process.
struct ExitResult
{
  int status_ = 0; //!< Exit status; 0 if a signal ended the process.
  int signal_ = 0; //!< Signal that ended the process, or 0.

  bool operator==(const ExitResult&) const = default;
};

//! A child process. The destructor kills and reaps it. The system kills it when the thread that
//! started it ends.
class Process
{
public:
  //! Starts a program from the build's bin folder, or any program if aProgram contains '/'.
  //! Standard output and error are appended to aLogPath.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          std::filesystem::path aLogPath);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  bool IsRunning();

  void Signal(int aSignal);
  void Pause();     //!< SIGSTOP.
  void Continue();  //!< SIGCONT.
  void Terminate(); //!< SIGTERM; does not wait.
  //! Sends SIGKILL and reaps the process.
  void Kill();

  //! Waits for the process to end; none if it still runs after aTimeout.
  std::optional<ExitResult> Wait(std::chrono::milliseconds aTimeout = std::chrono::seconds(60));

  //! Everything written so far, including output of earlier processes with the same log file.
  std::string Log() const;
  //! Waits for a line with `event=<aEvent>` and aKey and returns the key's value. Throws if the
  //! process ends or the wait times out first.
  std::string WaitForField(const std::string& aEvent, const std::string& aKey);

private:
  bool Reap(int aWaitFlags);

  std::filesystem::path logPath_;
  pid_t id_ = -1;
  std::optional<ExitResult> result_;
};

//! Result of a program that ran to its end.
struct RunResult
{
  ExitResult exit_;
  std::string output_; //!< Standard output and error.
};
//! Runs a program and waits for its end; throws if it does not end in time.
RunResult RunToEnd(const std::string& aProgram, const std::vector<std::string>& aArguments);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Process_h
