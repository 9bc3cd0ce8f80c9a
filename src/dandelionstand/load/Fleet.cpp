#include "dandelionstand/load/Fleet.h"

#include "dandelionstand/load/EventLines.h"
#include "dandelionstand/load/Fetch.h"
#include "dandelionstand/load/Report.h"

#include <algorithm>
#include <csignal>
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
constexpr Duration kLogStopLimit = std::chrono::seconds(5);
constexpr const char* kInForceEvent = "config_in_force";

//! The last time at which the file says that the version came into force.
std::optional<std::uint64_t> TimeInForce(const std::string& aFile, common::Version aVersion)
{
  std::ifstream file(aFile);
  std::optional<std::uint64_t> time;
  for (std::string line; std::getline(file, line);) {
    if (FindField(line, "event") == kInForceEvent &&
        FindField(line, "version") == std::to_string(aVersion.Get())) {
      time = ParseEventTime(FindField(line, "time").value_or(""));
    }
  }
  return time;
}

} // namespace

Fleet::Fleet(common::EventLoop& aLoop, Topology aTopology, FleetSettings aSettings)
  : loop_(aLoop)
  , topology_(std::move(aTopology))
  , settings_(std::move(aSettings))
  , members_(topology_.instances_.size())
{
  const std::size_t perInstance = settings_.hasTargets_ ? 2 : 1;
  if (topology_.instances_.size() * perInstance + 1 > kMaxProcesses) {
    throw std::invalid_argument("a fleet has at most 300 processes");
  }
  std::filesystem::create_directories(settings_.folder_);
}

Fleet::~Fleet() = default;

void Fleet::StartLog()
{
  log_.emplace(ChildCommand{ settings_.programs_ + "/standin-log",
                             { "--listen",
                               topology_.log_.Get(),
                               "--appends-per-second",
                               std::to_string(settings_.appendLimit_) },
                             settings_.folder_ + "/log.out" });
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
  members_[aIndex].target_.emplace(ChildCommand{ settings_.programs_ + "/standin-target",
                                                 { "--listen",
                                                   instance.target_.Get(),
                                                   "--service",
                                                   instance.service_.Get(),
                                                   "--daemon-admin",
                                                   instance.admin_.Get() },
                                                 FileOf(instance, ".target.out") });
}

void Fleet::StartDaemon(std::size_t aIndex)
{
  const InstancePlan& instance = topology_.instances_[aIndex];
  const std::string settings = FileOf(instance, ".json");
  WriteTextFile(settings, MakeDaemonSettings(topology_, instance));
  members_[aIndex].daemon_.emplace(ChildCommand{ settings_.programs_ + "/dandelion-daemon",
                                                 { "--settings", settings },
                                                 FileOf(instance, ".out") });
}

void Fleet::StartAll()
{
  StartLog();
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

bool Fleet::WaitForVersion(common::Version aVersion, Duration aLimit)
{
  const common::TimePoint end = common::Now() + aLimit;
  while (common::Now() < end) {
    const auto times = TimesInForce(aVersion);
    if (std::all_of(
          times.begin(), times.end(), [](const auto& aTime) { return aTime.has_value(); })) {
      return true;
    }
    RunFor(loop_, kPollInterval);
  }
  return false;
}

std::vector<std::optional<std::uint64_t>> Fleet::TimesInForce(common::Version aVersion) const
{
  std::vector<std::optional<std::uint64_t>> times;
  for (const InstancePlan& instance : topology_.instances_) {
    times.push_back(TimeInForce(FileOf(instance, ".out"), aVersion));
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
      sample.daemons_.push_back(
        { &topology_.instances_[index], *usage, Metrics::Parse(*bodies[index]) });
    }
  }
  if (log_) {
    sample.log_ = ReadProcessUsage(log_->Pid()).value_or(ProcessUsage{});
  }
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
  return settings_.folder_ + "/" + aInstance.instance_.Get() + aSuffix;
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
  if (log_) {
    processes.push_back(&*log_);
  }
  return processes;
}

} // namespace dandelionstand::load
