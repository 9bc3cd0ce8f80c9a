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

//! Slots that no accepted record sets.
constexpr std::uint32_t kBrokenSlots = 1;

//! Accepted is in force on every reachable daemon within this time.
constexpr std::chrono::seconds kInForceWithin(5);

//! Three regions with two failure domains of aPerDomain daemons each, without targets.
FleetOptions ConfigurationFleet(std::size_t aPerDomain, const std::string& aProfile = "time");

//! A closed configuration. Each service "s<i>" of aServices has limits "l<i>" and a route "r<i>"
//! under "/s<i>/"; every timeout is aMark milliseconds, so that a mixed state shows.
nlohmann::json MarkedDocument(const std::vector<int>& aServices, std::uint64_t aMark);

//! The log as the acceptance rule reads it, without any daemon.
struct Folded
{
  config::ConfigStatePtr state_;
  std::map<std::string, int> acceptedById_; //!< Accepted records by publish id.
};
Folded FoldLog(const Fleet& aFleet);

//! One operator: builds each record on the state after its own last one.
class Publisher
{
public:
  explicit Publisher(Fleet& aFleet, std::string aName = "operator");

  //! Builds on what the log holds now.
  void Refresh();
  //! Appends the record that leads to the document. Returns its offset, 0 without an answer.
  std::uint64_t Publish(const nlohmann::json& aDocument);
  //! Appends a record that would leave every route without its service, and change all limits to
  //! kBrokenSlots. Returns its offset.
  std::uint64_t PublishBroken();
  //! The document of the state that this operator builds on.
  nlohmann::json Document() const;
  //! Appends the last record once more, as an operator might whose answer was lost.
  std::uint64_t Repeat() { return Append(last_); }

private:
  std::uint64_t Append(std::vector<config::Change> aChanges);
  std::uint64_t Append(const std::string& aRecord);

  Fleet& fleet_;
  std::string name_;
  std::uint64_t count_ = 0;
  config::ConfigStatePtr state_;
  std::string last_;
};

//! Samples every daemon from a thread of its own and notes each version that falls, each reference
//! to a missing resource, and each state that mixes marks. A daemon that does not serve (version 0)
//! is passed over.
class VersionWatch
{
public:
  explicit VersionWatch(Fleet& aFleet);
  ~VersionWatch();

  //! Ends the sampling and returns what went wrong.
  std::vector<std::string> Stop();
  std::uint64_t Samples() const { return samples_; }

private:
  void Run();
  void Sample(const FleetInstance& aInstance);
  void CheckWhole(const std::string& aInstance, const nlohmann::json& aConfig);

  Fleet& fleet_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<std::uint64_t> samples_ = 0;
  std::map<std::string, std::uint64_t> highest_;
  std::vector<std::string> faults_;
  std::thread thread_;
};

//! True if each of the instances has the version in force in time.
bool InForceOn(const std::vector<FleetInstance*>& aInstances,
               std::uint64_t aVersion,
               std::chrono::milliseconds aWithin = kInForceWithin);
std::vector<FleetInstance*> Running(Fleet& aFleet);
bool IsReader(const FleetInstance& aInstance);

//! The daemon that reads the log for a region; waits until there is exactly one.
FleetInstance& ReaderOf(Fleet& aFleet, const std::string& aRegion);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_integration_ConfigurationFixture_h
