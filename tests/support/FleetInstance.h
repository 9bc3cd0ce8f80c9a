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

//! Addresses of an instance's daemon and target.
struct InstanceAddresses
{
  std::string ip_;
  common::Address callers_;
  common::Address admin_;
  common::Address peers_;     //!< Listening address of the daemon.
  common::Address advertise_; //!< Address for other daemons: the fault proxy's, or peers_.
  common::Address target_;
};

struct InstancePlan
{
  std::string name_;
  std::string domain_;
  std::string region_;
  std::string service_; //!< Empty for an instance without a target.
  InstanceAddresses addresses_;
  nlohmann::json settings_;
  std::vector<std::string> targetArguments_;
  std::filesystem::path folder_; //!< Holds the settings file and the logs.
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

  //! Starts the daemon without waiting until it answers; does nothing if it runs.
  void StartDaemon();
  void StartTarget();
  //! Waits until the daemon answers on its admin endpoint.
  bool WaitForDaemon();

  //! Sends SIGKILL to the daemon and reaps it.
  void Kill();
  //! Sends SIGTERM to the daemon and waits for its end.
  std::optional<ExitResult> Terminate(std::chrono::milliseconds aTimeout = kGenerousTimeout);
  void Pause();    //!< SIGSTOP to the daemon.
  void Continue(); //!< SIGCONT to the daemon.
  //! Kills the daemon if it runs, starts it and waits until it answers; false if it does not.
  bool Restart();
  bool IsRunning() const;
  //! Throws if the daemon was not started.
  Process& Daemon();
  Process& Target();
  void KillTarget();
  std::optional<ExitResult> TerminateTarget(std::chrono::milliseconds aTimeout = kGenerousTimeout);

  //! Sends a request to the daemon as a caller.
  HttpReply Get(const std::string& aPathAndQuery, const RequestOptions& aOptions = {}) const;
  HttpReply Post(const std::string& aPathAndQuery,
                 const std::string& aBody,
                 const RequestOptions& aOptions = {}) const;

  //! Answer of the daemon's admin endpoint; null if there is none.
  nlohmann::json Dump() const;
  nlohmann::json Status() const;
  std::uint64_t Metric(const std::string& aName) const;
  //! Active version according to the dump; 0 if there is no answer.
  std::uint64_t Version() const;

  //! Sets the target's behaviour by POST /control.
  void ControlTarget(const nlohmann::json& aControl) const;
  //! Run counts of the target by idempotency key, over all its processes.
  nlohmann::json TargetRuns() const;
  //! Run counts by Request-Identity, of all requests except GET and HEAD.
  nlohmann::json TargetRunsByIdentity() const;
  //! One value of the target's GET /stats.
  std::uint64_t TargetStat(const std::string& aName) const;

  //! Log of the daemon, including earlier runs.
  std::string Log() const;
  //! Settings for the next start.
  nlohmann::json& Settings() { return plan_.settings_; }

private:
  nlohmann::json Admin(const std::string& aPath) const;
  std::filesystem::path LogPath(const std::string& aProcessName) const;

  InstancePlan plan_;
  std::unique_ptr<Process> daemon_;
  std::unique_ptr<Process> target_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FleetInstance_h
