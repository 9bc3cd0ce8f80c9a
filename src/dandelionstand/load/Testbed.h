#ifndef dandelionstand_load_Testbed_h
#define dandelionstand_load_Testbed_h

#include "dandelionstand/common/LatencyHistogram.h"
#include "dandelionstand/load/ExperimentConfig.h"
#include "dandelionstand/load/Fleet.h"
#include "dandelionstand/load/FleetStats.h"
#include "dandelionstand/load/LoadRun.h"
#include "dandelionstand/load/Publisher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! Folders of an experiment and properties of the fleet that it starts.
struct TestbedSettings
{
  std::string programFolder_;
  std::string outputFolder_;
  bool hasTargets_ = true;
  std::uint32_t routesPerService_ = 2;
  //! Idle time after the first configuration is active.
  common::Duration settleDuration_ = std::chrono::milliseconds(1500);
};

//! Delays until published versions were active on the daemons.
struct ConvergenceTimes
{
  //! From sending the append to activation; one per daemon and version.
  common::LatencyHistogram delays_;
  std::uint64_t missingCount_ = 0; //!< Activations that were not logged in time.
  std::uint64_t recordBytes_ = 0;  //!< Total length of all records in the log.
  std::uint64_t versionCount_ = 0;
};

//! A running fleet on which experiments are performed. A first configuration is active on every
//! daemon.
class Testbed
{
public:
  //! Starts the fleet; throws std::runtime_error if a daemon does not answer or does not
  //! activate the first configuration.
  Testbed(common::EventLoop& aLoop, const TopologyShape& aShape, TestbedSettings aSettings);
  //! Terminates all processes.
  ~Testbed();

  Fleet& GetFleet() { return fleet_; }
  const TopologyShape& Shape() const { return fleet_.GetTopology().shape_; }

  //! Runs the loop for aWindow and returns the resource usage of the fleet during that time.
  FleetRates MeasureRates(common::Duration aWindow);
  //! Publishes the next revision without waiting for its activation.
  PublishedVersion PublishNextRevision();
  //! Waits until the versions are active on every daemon and collects the activation delays.
  ConvergenceTimes CollectTimes(const std::vector<PublishedVersion>& aVersions,
                                common::Duration aTimeout);
  //! Runs a load test that enters through the first aEntryPointCount daemons of the topology.
  RunResults RunLoad(LoadSettings aSettings, std::size_t aEntryPointCount);
  //! Kills a daemon and immediately starts it again.
  void RestartDaemon(std::size_t aIndex);
  //! Kills all daemons, starts them again and waits until aVersion is active on each. Returns the
  //! time from the restart; none if that takes longer than aTimeout.
  std::optional<common::Duration> RestartAllDaemons(common::Version aVersion,
                                                    common::Duration aTimeout);

private:
  common::EventLoop& loop_;
  TestbedSettings settings_;
  ExperimentConfig config_;
  Fleet fleet_;
  std::optional<Publisher> publisher_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Testbed_h
