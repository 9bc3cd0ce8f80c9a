#ifndef dandelionstand_tests_integration_ConfigurationFixture_h
#define dandelionstand_tests_integration_ConfigurationFixture_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/PublishRecord.h"
#include "tests/support/Fleet.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace dandelionstand::tests {

//! Number of slots that only refused records contain.
constexpr std::uint32_t kRejectedSlots = 1;

//! Bound for an accepted record to become active on every reachable daemon.
constexpr std::chrono::seconds kActivationTimeout(5);

//! Three regions of two failure domains each, without targets.
FleetOptions ConfigurationFleet(std::size_t aInstancesPerDomain,
                                const std::string& aProfile = "time");

//! A configuration in which each service "s<i>" of aServices has limits "l<i>" and a route "r<i>"
//! with path prefix "/s<i>/". All routes have the same timeout, so a state that mixes two documents
//! with different timeouts can be detected.
nlohmann::json UniformTimeoutDocument(const std::vector<int>& aServices, std::uint64_t aTimeoutMs);

//! Result of applying config::Accept() to all records of the log.
struct LogReplay
{
  config::ConfigStatePtr state_;
  std::map<std::string, int> acceptedById_; //!< Number of accepted records by publish id.
};
LogReplay ReplayLog(const Fleet& aFleet);

//! An operator. Builds each record on the state after its previous one.
class Publisher
{
public:
  explicit Publisher(Fleet& aFleet, std::string aName = "operator");

  //! Builds the next record on the log's current state.
  void Refresh();
  //! Appends a record that changes the state to the document. Returns its offset, or 0 if the
  //! append was not answered with 200.
  std::uint64_t Publish(const nlohmann::json& aDocument);
  //! Appends a record that is refused: it deletes the services of all routes and sets the slots of
  //! all limits to kRejectedSlots. Returns its offset.
  std::uint64_t PublishInvalid();
  //! The document of the state that the next record builds on.
  nlohmann::json Document() const;
  //! Appends the last record again, like an operator whose answer was lost.
  std::uint64_t RepeatLast() { return Append(lastRecord_); }

private:
  std::uint64_t Append(std::vector<config::Change> aChanges);
  std::uint64_t Append(const std::string& aRecord);

  Fleet& fleet_;
  std::string name_;
  std::uint64_t publishCount_ = 0;
  config::ConfigStatePtr state_;
  std::string lastRecord_;
};

//! Polls all daemons from a separate thread and records violations: a version that decreases, a
//! reference to a missing resource, a state that mixes timeouts, or a part of a refused record.
//! Daemons that do not serve (version 0) are skipped.
class VersionMonitor
{
public:
  explicit VersionMonitor(Fleet& aFleet);
  ~VersionMonitor();

  //! Stops polling and returns the violations.
  std::vector<std::string> Stop();
  std::uint64_t SampleCount() const { return sampleCount_; }

private:
  void Run();
  void Sample(const FleetInstance& aInstance);
  void CheckConsistency(const std::string& aInstance, const nlohmann::json& aConfig);

  Fleet& fleet_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<std::uint64_t> sampleCount_ = 0;
  std::map<std::string, std::uint64_t> highestVersions_;
  std::vector<std::string> violations_;
  std::thread thread_;
};

//! Waits until each instance has at least aVersion active; false if one does not within aTimeout.
bool WaitUntilActive(const std::vector<FleetInstance*>& aInstances,
                     std::uint64_t aVersion,
                     std::chrono::milliseconds aTimeout = kActivationTimeout);
std::vector<FleetInstance*> RunningInstances(Fleet& aFleet);
bool IsLogReader(const FleetInstance& aInstance);

//! Waits until exactly one running daemon reads the log for a region, and returns it; throws if
//! that does not happen in time.
FleetInstance& WaitForReader(Fleet& aFleet, const std::string& aRegion);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_integration_ConfigurationFixture_h
