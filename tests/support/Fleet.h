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

//! A whole system of real processes on loopback: log service, fault proxy, daemons and targets.
//! Each failure domain has IP numbers of its own, 127.<number>.0.0/16, and so has the platform.
//! At destruction all processes are killed and reaped; the ends of the daemons' logs are printed if
//! an exception is under way.
class Fleet
{
public:
  //! Lays the fleet out and starts the log service and the fault proxy, but no daemon.
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //! Starts every daemon and target and waits until each daemon answers; throws if one does not.
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

  //! Faults between failure domains; throws if the fleet is not proxied.
  const FaultProxyClient& GetFaultProxy() const;

  //! The log service itself, past the fault proxy.
  const common::Address& LogAddress() const { return logAddress_; }
  //! The JSON of POST /control of standin-log.
  void ControlLog(const nlohmann::json& aControl) const;
  //! GET /counts of standin-log.
  nlohmann::json LogCounts() const;
  //! The process of the log service. Its records are lost when it ends.
  Process& LogProcess() { return *log_; }

  //! Runs `dandelionctl aCommand --log ADDRESS aArguments`.
  RunResult Control(const std::string& aCommand, const std::vector<std::string>& aArguments) const;
  //! Publishes a document with dandelionctl and returns the version it got: the last offset of the
  //! config stream. Throws with the output if it is refused.
  std::uint64_t Publish(const nlohmann::json& aDocument) const;
  //! The offset that the next record of a stream will get.
  std::uint64_t NextOffset(const std::string& aStream) const;
  //! Waits until each running daemon has at least this version in force.
  bool WaitForVersion(std::uint64_t aVersion,
                      std::chrono::milliseconds aDeadline = kGenerousDeadline);

  const TempDir& Folder() const { return folder_; }

private:
  void LayOut();
  void StartPlatform();
  InstancePlan Plan(const InstanceOptions& aInstance,
                    const std::string& aDomain,
                    const std::string& aRegion,
                    std::size_t aIndex) const;
  void WriteSettings(InstancePlan& aPlan, const InstanceOptions& aInstance) const;
  std::vector<std::string> SeedsOf(const InstancePlan& aPlan) const;
  std::string IpOf(const std::string& aDomain, std::size_t aIndex) const;

  FleetOptions options_;
  TempDir folder_;
  unsigned subnet_; //!< Third part of all IP numbers; keeps fleets of other test runs apart.
  std::map<std::string, unsigned> domainNumbers_;
  common::Address logAddress_;
  common::Address logThroughProxy_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> proxy_;
  std::unique_ptr<FaultProxyClient> borders_;
  std::vector<InstancePlan> plans_;
  std::deque<FleetInstance> instances_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Fleet_h
