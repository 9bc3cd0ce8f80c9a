#include "dandelionstand/load/Fleet.h"

#include "dandelionstand/load/EventLines.h"
#include "dandelionstand/load/Fetch.h"
#include "dandelionstand/load/TextFile.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace dandelionstand::load {

namespace {

using common::Address;
using common::Duration;

constexpr std::size_t kMaxProcesses = 300;
constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr Duration kFetchTimeout = std::chrono::seconds(5);
constexpr Duration kProxyStartTimeout = std::chrono::seconds(10);
constexpr Duration kLogStopTimeout = std::chrono::seconds(5);
constexpr const char* kActivationEvent = "config_in_force";

//! Time of a log line that reports the activation of aVersion or a later version; none for other
//! lines.
std::optional<std::uint64_t> ParseActivationTime(const std::string& aLine, common::Version aVersion)
{
  if (FindField(aLine, "event") != kActivationEvent) {
    return std::nullopt;
  }
  const std::string version = FindField(aLine, "version").value_or("0");
  if (std::strtoull(version.c_str(), nullptr, 10) < aVersion.Get()) {
    return std::nullopt;
  }
  return ParseEventTime(FindField(aLine, "time").value_or(""));
}

std::optional<std::uint64_t> FindActivationTime(const std::string& aFile,
                                                common::Version aVersion,
                                                std::uint64_t aSinceMs)
{
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    const std::optional<std::uint64_t> time = ParseActivationTime(line, aVersion);
    if (time && *time >= aSinceMs) {
      return time;
    }
  }
  return std::nullopt;
}

} // namespace

Fleet::Fleet(common::EventLoop& aLoop, Topology aTopology, FleetSettings aSettings)
  : loop_(aLoop)
  , topology_(std::move(aTopology))
  , settings_(std::move(aSettings))
  , processes_(topology_.instances_.size())
{
  const std::size_t perInstance = settings_.hasTargets_ ? 2 : 1;
  if (topology_.instances_.size() * perInstance + 2 > kMaxProcesses) {
    throw std::invalid_argument("the fleet exceeds the maximum of 300 processes");
  }
  std::filesystem::create_directories(settings_.outputFolder_);
}

Fleet::~Fleet() = default;

void Fleet::StartProxy()
{
  const std::string settings = settings_.outputFolder_ + "/proxy.json";
  WriteTextFile(settings, MakeProxySettings(topology_));
  proxy_.emplace(ChildCommand{ settings_.programFolder_ + "/standin-fault-proxy",
                               { "--settings", settings },
                               settings_.outputFolder_ + "/proxy.out" });
  const std::string rules =
    MakeDelayRules(topology_.shape_, settings_.interDomainDelay_, settings_.interRegionDelay_);
  const common::TimePoint end = common::Now() + kProxyStartTimeout;
  while (!Post(loop_, topology_.proxyControlAddress_, "/control", rules, kFetchTimeout)) {
    if (common::Now() > end) {
      throw std::runtime_error("the fault proxy gave no answer to the delay rules in time");
    }
    RunFor(loop_, kPollInterval);
  }
}

void Fleet::StartLog()
{
  log_.emplace(ChildCommand{ settings_.programFolder_ + "/standin-log",
                             { "--listen",
                               topology_.logAddress_.Get(),
                               "--appends-per-second",
                               std::to_string(settings_.maxAppendsPerSecond_) },
                             settings_.outputFolder_ + "/log.out" });
}

void Fleet::StopLog()
{
  log_->SendSignal(SIGTERM);
  log_->Wait(kLogStopTimeout);
  log_.reset();
}

void Fleet::StartTarget(std::size_t aIndex)
{
  const InstancePlan& instance = topology_.instances_[aIndex];
  processes_[aIndex].target_.emplace(ChildCommand{ settings_.programFolder_ + "/standin-target",
                                                   { "--listen",
                                                     instance.targetAddress_.Get(),
                                                     "--service",
                                                     instance.service_.Get(),
                                                     "--daemon-admin",
                                                     instance.adminAddress_.Get() },
                                                   PathOf(instance, ".target.out") });
}

bool Fleet::StopTarget(std::size_t aIndex, Duration aTimeout)
{
  ChildProcess& target = *processes_[aIndex].target_;
  target.SendSignal(SIGTERM);
  return target.Wait(aTimeout) == 0;
}

void Fleet::StartDaemon(std::size_t aIndex)
{
  const InstancePlan& instance = topology_.instances_[aIndex];
  const std::string settings = PathOf(instance, ".json");
  WriteTextFile(settings, MakeDaemonSettings(topology_, instance));
  processes_[aIndex].daemon_.emplace(ChildCommand{ settings_.programFolder_ + "/dandelion-daemon",
                                                   { "--settings", settings },
                                                   PathOf(instance, ".out") });
}

void Fleet::StartAll()
{
  StartLog();
  if (topology_.shape_.isProxied_) {
    StartProxy();
  }
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    StartDaemon(index);
    if (settings_.hasTargets_) {
      StartTarget(index);
    }
  }
}

void Fleet::KillDaemon(std::size_t aIndex)
{
  processes_[aIndex].daemon_.reset();
}

bool Fleet::WaitForDaemons(Duration aTimeout)
{
  std::vector<Address> addresses;
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    if (processes_[index].daemon_) {
      addresses.push_back(topology_.instances_[index].adminAddress_);
    }
  }
  const common::TimePoint end = common::Now() + aTimeout;
  while (common::Now() < end) {
    const auto bodies = FetchAll(loop_, addresses, "/metrics", kFetchTimeout);
    if (std::all_of(
          bodies.begin(), bodies.end(), [](const auto& aBody) { return aBody.has_value(); })) {
      return true;
    }
    RunFor(loop_, kPollInterval);
  }
  return false;
}

bool Fleet::WaitForVersion(common::Version aVersion, std::uint64_t aSinceMs, Duration aTimeout)
{
  const common::TimePoint end = common::Now() + aTimeout;
  while (common::Now() < end) {
    const auto times = ActivationTimes(aVersion, aSinceMs);
    if (std::all_of(
          times.begin(), times.end(), [](const auto& aTime) { return aTime.has_value(); })) {
      return true;
    }
    RunFor(loop_, kPollInterval);
  }
  return false;
}

std::vector<std::optional<std::uint64_t>> Fleet::ActivationTimes(common::Version aVersion,
                                                                 std::uint64_t aSinceMs) const
{
  std::vector<std::optional<std::uint64_t>> times;
  for (const InstancePlan& instance : topology_.instances_) {
    times.push_back(FindActivationTime(PathOf(instance, ".out"), aVersion, aSinceMs));
  }
  return times;
}

FleetSample Fleet::Sample()
{
  std::vector<Address> addresses;
  for (const InstancePlan& instance : topology_.instances_) {
    addresses.push_back(instance.adminAddress_);
  }
  const auto bodies = FetchAll(loop_, addresses, "/metrics", kFetchTimeout);
  FleetSample sample;
  sample.sampledAt_ = common::Now();
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    if (!bodies[index] || !processes_[index].daemon_) {
      continue;
    }
    const auto usage = ReadProcessUsage(processes_[index].daemon_->Pid());
    if (usage) {
      sample.daemons_.push_back({ &topology_.instances_[index],
                                  processes_[index].daemon_->Pid(),
                                  *usage,
                                  Metrics::Parse(*bodies[index]) });
    }
  }
  if (log_) {
    sample.logUsage_ = ReadProcessUsage(log_->Pid()).value_or(ProcessUsage{});
  }
  sample.proxiedBytes_ = ReadProxyCounts();
  return sample;
}

std::size_t Fleet::StopAll(Duration aTimeout)
{
  const std::vector<ChildProcess*> processes = AllProcesses();
  for (ChildProcess* process : processes) {
    process->SendSignal(SIGTERM);
  }
  const common::TimePoint end = common::Now() + aTimeout;
  std::size_t killed = 0;
  for (ChildProcess* process : processes) {
    if (!process->Wait(std::max(Duration(0), end - common::Now()))) {
      process->Kill();
      killed += 1;
    }
  }
  return killed;
}

std::string Fleet::PathOf(const InstancePlan& aInstance, const std::string& aSuffix) const
{
  return settings_.outputFolder_ + "/" + aInstance.instance_.Get() + aSuffix;
}

std::vector<ChildProcess*> Fleet::AllProcesses()
{
  std::vector<ChildProcess*> processes;
  for (InstanceProcesses& entry : processes_) {
    if (entry.daemon_) {
      processes.push_back(&*entry.daemon_);
    }
  }
  for (InstanceProcesses& entry : processes_) {
    if (entry.target_) {
      processes.push_back(&*entry.target_);
    }
  }
  for (std::optional<ChildProcess>* process : { &log_, &proxy_ }) {
    if (*process) {
      processes.push_back(&**process);
    }
  }
  return processes;
}

ProxiedBytes Fleet::ReadProxyCounts()
{
  if (!proxy_) {
    return {};
  }
  const auto bodies = FetchAll(loop_, { topology_.proxyControlAddress_ }, "/counts", kFetchTimeout);
  const auto counts = ParseProxyCounts(bodies.front().value_or(""), topology_.shape_);
  return counts.value_or(ProxiedBytes{});
}

} // namespace dandelionstand::load
