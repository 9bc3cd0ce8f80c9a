#ifndef dandelionstand_load_Fleet_h
#define dandelionstand_load_Fleet_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/ChildProcess.h"
#include "dandelionstand/load/FaultProxyControl.h"
#include "dandelionstand/load/Metrics.h"
#include "dandelionstand/load/ProcessUsage.h"
#include "dandelionstand/load/Topology.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

struct FleetSettings
{
  std::string programFolder_;               //!< Folder of the executables.
  std::string outputFolder_;                //!< Folder for the settings and output of each process.
  bool hasTargets_ = true;                  //!< Starts a target for each daemon.
  std::uint64_t maxAppendsPerSecond_ = 400; //!< Append limit of the log; 0 for no limit.
  //! One-way delays that the fault proxy adds; unused without the proxy.
  common::Duration interDomainDelay_ = std::chrono::microseconds(500);
  common::Duration interRegionDelay_ = std::chrono::milliseconds(12);
};

//! Resource usage and metrics of one daemon at one time.
struct DaemonSample
{
  const InstancePlan* instance_ = nullptr;
  int pid_ = 0; //!< Changes when the daemon is restarted.
  ProcessUsage usage_;
  Metrics metrics_;
};

//! Resource usage and metrics of the fleet at one time.
struct FleetSample
{
  common::TimePoint sampledAt_;
  std::vector<DaemonSample> daemons_; //!< Daemons that answered, in topology order.
  ProcessUsage logUsage_;
  ProxiedBytes proxiedBytes_; //!< All 0 without the proxy.
};

//! Starts and stops real daemons and stand-ins on loopback. Signals go only to process ids that it
//! started itself, so that other runs on the machine are not affected.
class Fleet
{
public:
  //! Throws std::invalid_argument if the fleet needs more than 300 processes.
  Fleet(common::EventLoop& aLoop, Topology aTopology, FleetSettings aSettings);
  //! Kills the processes that are still running.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  const Topology& GetTopology() const { return topology_; }

  //! Starts the fault proxy and sets its delays. Must be called before daemons are started.
  void StartProxy();
  void StartLog();
  //! Sends SIGTERM to the log and kills it if it does not exit in time.
  void StopLog();
  void StartTarget(std::size_t aIndex);
  //! Sends SIGTERM to a target, so that it leaves gracefully; whether it exited with status 0
  //! within aTimeout.
  bool StopTarget(std::size_t aIndex, common::Duration aTimeout);
  void StartDaemon(std::size_t aIndex);
  //! Starts the log, the daemons and their targets, and the proxy if the topology has one.
  void StartAll();
  //! Kills a daemon with SIGKILL, without a graceful shutdown.
  void KillDaemon(std::size_t aIndex);

  //! Waits until every started daemon answers on its admin address; false after aTimeout.
  bool WaitForDaemons(common::Duration aTimeout);
  //! Waits until every daemon has logged, at or after aSinceMs, that aVersion or a later version is
  //! active; false after aTimeout. aSinceMs is in milliseconds since the Unix epoch.
  bool WaitForVersion(common::Version aVersion, std::uint64_t aSinceMs, common::Duration aTimeout);
  //! Time at which each daemon first logged this, in milliseconds since the Unix epoch; none for
  //! daemons that did not log it.
  std::vector<std::optional<std::uint64_t>> ActivationTimes(common::Version aVersion,
                                                            std::uint64_t aSinceMs) const;

  FleetSample Sample();
  //! Sends SIGTERM to all processes, and SIGKILL to those still running after aTimeout. Returns the
  //! number of processes that were killed.
  std::size_t StopAll(common::Duration aTimeout);

private:
  struct InstanceProcesses
  {
    std::optional<ChildProcess> daemon_;
    std::optional<ChildProcess> target_;
  };

  std::string PathOf(const InstancePlan& aInstance, const std::string& aSuffix) const;
  std::vector<ChildProcess*> AllProcesses();
  ProxiedBytes ReadProxyCounts();

  common::EventLoop& loop_;
  Topology topology_;
  FleetSettings settings_;
  std::optional<ChildProcess> log_;
  std::optional<ChildProcess> proxy_;
  std::vector<InstanceProcesses> processes_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Fleet_h
