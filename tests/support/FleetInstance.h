#ifndef dandelionstand_tests_support_FleetInstance_h
#define dandelionstand_tests_support_FleetInstance_h

#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/Wait.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! Where the parts of an instance are reached.
struct InstanceAddresses
{
  std::string ip_;
  common::Address callers_;
  common::Address admin_;
  common::Address peers_;     //!< Where the daemon listens.
  common::Address advertise_; //!< Where other daemons reach it: the fault proxy, or peers_.
  common::Address target_;
};

struct InstancePlan
{
  std::string name_;
  std::string domain_;
  std::string region_;
  std::string service_; //!< Empty for no target.
  InstanceAddresses addresses_;
  nlohmann::json settings_;
  std::vector<std::string> targetArguments_;
  std::filesystem::path folder_; //!< For the settings file and the logs.
};

//! One instance of a fleet: a daemon and, if it has a service, its target.
class FleetInstance
{
public:
  explicit FleetInstance(InstancePlan aPlan);

  const std::string& Name() const { return plan_.name_; }
  const std::string& Domain() const { return plan_.domain_; }
  const std::string& RegionName() const { return plan_.region_; }
  const std::string& Service() const { return plan_.service_; }
  const InstanceAddresses& Addresses() const { return plan_.addresses_; }

  //! Starts the daemon without waiting for it; does nothing if it runs.
  void StartDaemon();
  void StartTarget();
  //! Waits until the daemon answers on its admin endpoint.
  bool WaitForDaemon();

  //! SIGKILL to the daemon.
  void Kill();
  //! SIGTERM to the daemon, and waits for its end.
  std::optional<ExitResult> Terminate(std::chrono::milliseconds aDeadline = kGenerousDeadline);
  void Pause();    //!< SIGSTOP to the daemon.
  void Continue(); //!< SIGCONT to the daemon.
  //! Kills the daemon if it runs, starts it and waits until it answers.
  bool Restart();
  bool IsRunning() const;
  //! The daemon's process; throws if it was not started.
  Process& Daemon();
  Process& Target();
  void KillTarget();
  std::optional<ExitResult> TerminateTarget(
    std::chrono::milliseconds aDeadline = kGenerousDeadline);

  //! Calls the daemon as a caller does.
  HttpReply Get(const std::string& aTarget, const RequestOptions& aOptions = {}) const;
  HttpReply Post(const std::string& aTarget,
                 const std::string& aBody,
                 const RequestOptions& aOptions = {}) const;

  //! Admin endpoint of the daemon; null if there is no answer.
  nlohmann::json Dump() const;
  nlohmann::json Status() const;
  std::uint64_t Metric(const std::string& aName) const;
  //! Version in force, from the dump; 0 if there is no answer.
  std::uint64_t Version() const;

  //! Sets the behaviour of the target: the JSON of POST /control of standin-target.
  void ControlTarget(const nlohmann::json& aControl) const;
  //! Runs at the target by idempotency key, over all its processes.
  nlohmann::json TargetRuns() const;
  //! Runs by Request-Identity of all requests but GET and HEAD.
  nlohmann::json TargetRunsByIdentity() const;
  //! One number of GET /stats of the target.
  std::uint64_t TargetStat(const std::string& aName) const;

  //! Log of the daemon, over all its runs.
  std::string Log() const;
  //! Settings of the next start.
  nlohmann::json& Settings() { return plan_.settings_; }

private:
  nlohmann::json Admin(const std::string& aPath) const;
  std::filesystem::path LogPath(const std::string& aPart) const;

  InstancePlan plan_;
  std::unique_ptr<Process> daemon_;
  std::unique_ptr<Process> target_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FleetInstance_h
