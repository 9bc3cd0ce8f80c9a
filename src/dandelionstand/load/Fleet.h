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
  std::string programFolder_;       //!< Folder of the binaries.
  std::string outputFolder_;        //!< Settings and output of each process go here.
  bool hasTargets_ = true;          //!< Whether each daemon has a target beside it.
  std::uint64_t appendLimit_ = 400; //!< Appends a second that the log takes; 0 for no limit.
  common::Duration betweenDomains_ = std::chrono::microseconds(500); //!< One way, with the proxy.
  common::Duration betweenRegions_ = std::chrono::milliseconds(12);  //!< One way, with the proxy.
};

//! Usage and metrics of one daemon at one time.
struct DaemonSample
{
  const InstancePlan* instance_ = nullptr;
  int pid_ = 0; //!< Changes when the daemon is restarted.
  ProcessUsage usage_;
  Metrics metrics_;
};

//! What the fleet has used at one time.
struct FleetSample
{
  common::TimePoint time_;
  std::vector<DaemonSample> daemons_; //!< Those that answered, in the order of the topology.
  ProcessUsage log_;
  BorderBytes borders_; //!< All 0 without the proxy.
};

//! Real daemons and stand-ins on loopback, started and ended by their process ids alone.
class Fleet
{
public:
  //! Throws std::invalid_argument beyond 300 processes.
  Fleet(common::EventLoop& aLoop, Topology aTopology, FleetSettings aSettings);
  //! Kills whatever still runs.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  const Topology& GetTopology() const { return topology_; }

  //! Starts the fault proxy and delays each border; call before the daemons start.
  void StartProxy();
  void StartLog();
  //! Waits for the log's present process to end.
  void StopLog();
  void StartTarget(std::size_t aIndex);
  //! Lets a target leave; whether it ended within the limit with exit status 0.
  bool StopTarget(std::size_t aIndex, common::Duration aLimit);
  void StartDaemon(std::size_t aIndex);
  //! Starts the log, the daemons and their targets, and the proxy if the topology has one.
  void StartAll();
  //! Kills a daemon at once, without a shutdown.
  void KillDaemon(std::size_t aIndex);

  //! Whether every daemon that was started answers on its admin address within the limit.
  bool WaitForAnswers(common::Duration aLimit);
  //! Whether every daemon has logged aVersion or a later one as in force at or after a time, given
  //! in milliseconds since the Unix epoch, before the limit has passed.
  bool WaitForVersion(common::Version aVersion, std::uint64_t aSinceMs, common::Duration aLimit);
  //! When each daemon first logged that, in milliseconds since the Unix epoch; none for those that
  //! did not.
  std::vector<std::optional<std::uint64_t>> TimesInForce(common::Version aVersion,
                                                         std::uint64_t aSinceMs) const;

  FleetSample Sample();
  //! Ends all processes: SIGTERM, then SIGKILL to those that remain after the limit. How many had
  //! to be killed.
  std::size_t StopAll(common::Duration aLimit);

private:
  struct Member
  {
    std::optional<ChildProcess> daemon_;
    std::optional<ChildProcess> target_;
  };

  std::string FileOf(const InstancePlan& aInstance, const std::string& aSuffix) const;
  std::vector<ChildProcess*> Processes();
  BorderBytes ReadBorders();

  common::EventLoop& loop_;
  Topology topology_;
  FleetSettings settings_;
  std::optional<ChildProcess> log_;
  std::optional<ChildProcess> proxy_;
  std::vector<Member> members_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Fleet_h
