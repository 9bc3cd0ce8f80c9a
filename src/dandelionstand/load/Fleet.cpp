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
constexpr Duration kProxyStartLimit = std::chrono::seconds(10);
constexpr Duration kLogStopLimit = std::chrono::seconds(5);
constexpr const char* kInForceEvent = "config_in_force";

//! When the line says that the version or a later one came into force; none if it does not say
//! that.
std::optional<std::uint64_t> TimeInForce(const std::string& aLine, common::Version aVersion)
{
  if (FindField(aLine, "event") != kInForceEvent) {
    return std::nullopt;
  }
  const std::string version = FindField(aLine, "version").value_or("0");
  if (std::strtoull(version.c_str(), nullptr, 10) < aVersion.Get()) {
    return std::nullopt;
  }
  return ParseEventTime(FindField(aLine, "time").value_or(""));
}

std::optional<std::uint64_t> FirstTimeInForce(const std::string& aFile,
                                              common::Version aVersion,
                                              std::uint64_t aSinceMs)
{
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    const std::optional<std::uint64_t> time = TimeInForce(line, aVersion);
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
  , members_(topology_.instances_.size())
{
  const std::size_t perInstance = settings_.hasTargets_ ? 2 : 1;
  if (topology_.instances_.size() * perInstance + 2 > kMaxProcesses) {
    throw std::invalid_argument("a fleet has at most 300 processes");
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
    MakeDelayRules(topology_.shape_, settings_.betweenDomains_, settings_.betweenRegions_);
  const common::TimePoint end = common::Now() + kProxyStartLimit;
  while (!Post(loop_, topology_.proxyControl_, "/control", rules, kFetchTimeout)) {
    if (common::Now() > end) {
      throw std::runtime_error("the fault proxy does not answer");
    }
    RunFor(loop_, kPollInterval);
  }
}

void Fleet::StartLog()
{
  log_.emplace(ChildCommand{ settings_.programFolder_ + "/standin-log",
                             { "--listen",
                               topology_.log_.Get(),
                               "--appends-per-second",
                               std::to_string(settings_.appendLimit_) },
                             settings_.outputFolder_ + "/log.out" });
}

void Fleet::StopLog()
{
  log_->Signal(SIGTERM);
  log_->Wait(kLogStopLimit);
  log_.reset();
}

void Fleet::StartTarget(std::size_t aIndex)
{
  const InstancePlan& instance = topology_.instances_[aIndex];
  members_[aIndex].target_.emplace(ChildCommand{ settings_.programFolder_ + "/standin-target",
                                                 { "--listen",
                                                   instance.target_.Get(),
                                                   "--service",
                                                   instance.service_.Get(),
                                                   "--daemon-admin",
                                                   instance.admin_.Get() },
                                                 FileOf(instance, ".target.out") });
}

bool Fleet::StopTarget(std::size_t aIndex, Duration aLimit)
{
  ChildProcess& target = *members_[aIndex].target_;
  target.Signal(SIGTERM);
  return target.Wait(aLimit) == 0;
}

void Fleet::StartDaemon(std::size_t aIndex)
{
  const InstancePlan& instance = topology_.instances_[aIndex];
  const std::string settings = FileOf(instance, ".json");
  WriteTextFile(settings, MakeDaemonSettings(topology_, instance));
  members_[aIndex].daemon_.emplace(ChildCommand{ settings_.programFolder_ + "/dandelion-daemon",
                                                 { "--settings", settings },
                                                 FileOf(instance, ".out") });
}

void Fleet::StartAll()
{
  StartLog();
  if (topology_.shape_.isProxied_) {
    StartProxy();
  }
  for (std::size_t index = 0; index < members_.size(); ++index) {
    StartDaemon(index);
    if (settings_.hasTargets_) {
      StartTarget(index);
    }
  }
}

void Fleet::KillDaemon(std::size_t aIndex)
{
  members_[aIndex].daemon_.reset();
}

bool Fleet::WaitForAnswers(Duration aLimit)
{
  std::vector<Address> addresses;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index].daemon_) {
      addresses.push_back(topology_.instances_[index].admin_);
    }
  }
  const common::TimePoint end = common::Now() + aLimit;
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

bool Fleet::WaitForVersion(common::Version aVersion, std::uint64_t aSinceMs, Duration aLimit)
{
  const common::TimePoint end = common::Now() + aLimit;
  while (common::Now() < end) {
    const auto times = TimesInForce(aVersion, aSinceMs);
    if (std::all_of(
          times.begin(), times.end(), [](const auto& aTime) { return aTime.has_value(); })) {
      return true;
    }
    RunFor(loop_, kPollInterval);
  }
  return false;
}

std::vector<std::optional<std::uint64_t>> Fleet::TimesInForce(common::Version aVersion,
                                                              std::uint64_t aSinceMs) const
{
  std::vector<std::optional<std::uint64_t>> times;
  for (const InstancePlan& instance : topology_.instances_) {
    times.push_back(FirstTimeInForce(FileOf(instance, ".out"), aVersion, aSinceMs));
  }
  return times;
}

FleetSample Fleet::Sample()
{
  std::vector<Address> addresses;
  for (const InstancePlan& instance : topology_.instances_) {
    addresses.push_back(instance.admin_);
  }
  const auto bodies = FetchAll(loop_, addresses, "/metrics", kFetchTimeout);
  FleetSample sample;
  sample.time_ = common::Now();
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (!bodies[index] || !members_[index].daemon_) {
      continue;
    }
    const auto usage = ReadProcessUsage(members_[index].daemon_->Pid());
    if (usage) {
      sample.daemons_.push_back({ &topology_.instances_[index],
                                  members_[index].daemon_->Pid(),
                                  *usage,
                                  Metrics::Parse(*bodies[index]) });
    }
  }
  if (log_) {
    sample.log_ = ReadProcessUsage(log_->Pid()).value_or(ProcessUsage{});
  }
  sample.borders_ = ReadBorders();
  return sample;
}

std::size_t Fleet::StopAll(Duration aLimit)
{
  const std::vector<ChildProcess*> processes = Processes();
  for (ChildProcess* process : processes) {
    process->Signal(SIGTERM);
  }
  const common::TimePoint end = common::Now() + aLimit;
  std::size_t killed = 0;
  for (ChildProcess* process : processes) {
    if (!process->Wait(std::max(Duration(0), end - common::Now()))) {
      process->Kill();
      killed += 1;
    }
  }
  return killed;
}

std::string Fleet::FileOf(const InstancePlan& aInstance, const std::string& aSuffix) const
{
  return settings_.outputFolder_ + "/" + aInstance.instance_.Get() + aSuffix;
}

std::vector<ChildProcess*> Fleet::Processes()
{
  std::vector<ChildProcess*> processes;
  for (Member& member : members_) {
    if (member.daemon_) {
      processes.push_back(&*member.daemon_);
    }
  }
  for (Member& member : members_) {
    if (member.target_) {
      processes.push_back(&*member.target_);
    }
  }
  for (std::optional<ChildProcess>* process : { &log_, &proxy_ }) {
    if (*process) {
      processes.push_back(&**process);
    }
  }
  return processes;
}

BorderBytes Fleet::ReadBorders()
{
  if (!proxy_) {
    return {};
  }
  const auto bodies = FetchAll(loop_, { topology_.proxyControl_ }, "/counts", kFetchTimeout);
  const auto counts = ParseBorderCounts(bodies.front().value_or(""), topology_.shape_);
  return counts.value_or(BorderBytes{});
}

} // namespace dandelionstand::load
