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

//! Where experiments find the programs and leave their files.
struct TestbedSettings
{
  std::string programFolder_;
  std::string outputFolder_;
  bool hasTargets_ = true;
  std::uint32_t routesPerService_ = 2;
  common::Duration settleDuration_ =
    std::chrono::milliseconds(1500); //!< After the first configuration.
};

//! How soon published versions were in force.
struct ConvergenceTimes
{
  common::LatencyHistogram
    delays_;                  //!< From the sending of the append, one for each daemon and version.
  std::uint64_t missing_ = 0; //!< Daemons that did not log a version in time.
  std::uint64_t recordBytes_ = 0; //!< Of all records together.
  std::uint64_t versions_ = 0;
};

//! A running fleet with a first configuration in force everywhere.
class Bench
{
public:
  //! Starts the fleet; throws std::runtime_error if it does not come up.
  Bench(common::EventLoop& aLoop, const TopologyShape& aShape, TestbedSettings aSettings);
  //! Ends all processes.
  ~Bench();

  Fleet& GetFleet() { return fleet_; }
  const TopologyShape& Shape() const { return fleet_.GetTopology().shape_; }

  //! Runs for a time and returns what the fleet used in it.
  FleetRates Measure(common::Duration aWindow);
  //! Publishes the next revision without waiting for it to be in force.
  Published PublishNext();
  //! Waits for the versions to be in force everywhere and collects when that was.
  ConvergenceTimes Collect(const std::vector<Published>& aVersions, common::Duration aLimit);
  //! Sends load through aEntries daemons of the first failure domains until it ends.
  RunResults RunLoad(LoadSettings aSettings, std::size_t aEntries);
  //! Kills a daemon and starts it again at once.
  void RestartDaemon(std::size_t aIndex);
  //! Kills all daemons, starts them again and waits until aVersion is in force again. The time that
  //! took; none if it was not in force within the limit.
  std::optional<common::Duration> RestartAll(common::Version aVersion, common::Duration aLimit);

private:
  common::EventLoop& loop_;
  TestbedSettings settings_;
  ExperimentConfig config_;
  Fleet fleet_;
  std::optional<Publisher> publisher_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Testbed_h
