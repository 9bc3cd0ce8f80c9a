#ifndef dandelionstand_tests_support_Fleet_h
#define dandelionstand_tests_support_Fleet_h

#include "tests/support/FaultProxyClient.h"
#include "tests/support/FleetInstance.h"
#include "tests/support/FleetOptions.h"
#include "tests/support/TempDir.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! A complete system of real processes on loopback: log service, fault proxy, daemons and targets.
//! Each failure domain and the platform has its own IP range, 127.<number>.0.0/16.
//! The destructor kills and reaps all processes. During stack unwinding it also prints the ends of
//! the daemons' logs.
class Fleet
{
public:
  //! Assigns addresses and starts the log service and the fault proxy, but no daemon.
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //! Starts all daemons and targets; throws if a daemon does not answer in time.
  void Start();

  std::size_t size() const { return instances_.size(); }
  FleetInstance& operator[](std::size_t aIndex) { return instances_.at(aIndex); }
  FleetInstance& operator[](const std::string& aName);
  std::deque<FleetInstance>::iterator begin() { return instances_.begin(); }
  std::deque<FleetInstance>::iterator end() { return instances_.end(); }
  std::vector<FleetInstance*> InDomain(const std::string& aDomain);
  std::vector<FleetInstance*> InRegion(const std::string& aRegion);
  std::vector<FleetInstance*> WithService(const std::string& aService);
  std::vector<std::string> DomainsOf(const std::string& aRegion) const;

  //! Throws if the fleet has no fault proxy.
  const FaultProxyClient& GetFaultProxy() const;

  //! Address of the log service itself, not through the fault proxy.
  const common::Address& LogAddress() const { return logAddress_; }
  //! Sends POST /control to standin-log.
  void ControlLog(const nlohmann::json& aControl) const;
  //! Sends GET /counts to standin-log.
  nlohmann::json LogCounts() const;
  //! The log service's process. It holds its records in memory, so they are lost when it ends.
  Process& LogProcess() { return *logProcess_; }

  //! Runs `dandelionctl <aCommand> --log ADDRESS <aArguments>`.
  RunResult RunDandelionctl(const std::string& aCommand,
                            const std::vector<std::string>& aArguments) const;
  //! Publishes a document with dandelionctl and returns its version, the last offset of the config
  //! stream. Throws if the publish is refused.
  std::uint64_t Publish(const nlohmann::json& aDocument) const;
  //! Offset of the next record appended to a stream.
  std::uint64_t NextOffset(const std::string& aStream) const;
  //! Waits until at least aVersion is active on each running daemon.
  bool WaitForVersion(std::uint64_t aVersion,
                      std::chrono::milliseconds aTimeout = kGenerousTimeout);

  const TempDir& Folder() const { return folder_; }

private:
  void PlanInstances();
  void StartPlatform();
  InstancePlan MakePlan(const InstanceOptions& aInstance,
                        const std::string& aDomain,
                        const std::string& aRegion,
                        std::size_t aIndex) const;
  void WriteSettings(InstancePlan& aPlan, const InstanceOptions& aInstance) const;
  std::vector<std::string> SeedsOf(const InstancePlan& aPlan) const;
  std::string IpOf(const std::string& aDomain, std::size_t aIndex) const;

  FleetOptions options_;
  TempDir folder_;
  unsigned subnet_; //!< Third octet of all IP addresses; separates fleets of parallel test runs.
  std::map<std::string, unsigned> domainNumbers_;
  common::Address logAddress_;
  common::Address proxiedLogAddress_;
  std::unique_ptr<Process> logProcess_;
  std::unique_ptr<Process> proxyProcess_;
  std::unique_ptr<FaultProxyClient> faultProxy_;
  std::vector<InstancePlan> plans_;
  std::deque<FleetInstance> instances_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Fleet_h
