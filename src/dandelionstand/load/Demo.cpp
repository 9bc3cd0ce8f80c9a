#include "dandelionstand/load/Demo.h"

#include "dandelionstand/load/Fetch.h"
#include "dandelionstand/load/TextFile.h"

#include <utility>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr Duration kStartTimeout = std::chrono::seconds(30);
constexpr Duration kActivationTimeout = std::chrono::seconds(15);
constexpr Duration kToolTimeout = std::chrono::seconds(120);
constexpr Duration kStopTimeout = std::chrono::seconds(15);
constexpr Duration kAnnouncementDelay = std::chrono::seconds(2);
constexpr const char* kDownloadBytes = "67108864"; // 64 MB

FleetSettings MakeFleetSettings(const std::string& aProgramFolder, const std::string& aOutputFolder)
{
  FleetSettings settings;
  settings.programFolder_ = aProgramFolder;
  settings.outputFolder_ = aOutputFolder + "/processes";
  return settings;
}

} // namespace

Demo::Demo(common::EventLoop& aLoop,
           const TopologyShape& aShape,
           std::string aProgramFolder,
           std::string aOutputFolder,
           Print aPrint)
  : loop_(aLoop)
  , programFolder_(std::move(aProgramFolder))
  , outputFolder_(std::move(aOutputFolder))
  , print_(std::move(aPrint))
  , fleet_(aLoop, MakeTopology(aShape), MakeFleetSettings(programFolder_, outputFolder_))
{
  lastRegion_ = fleet_.GetTopology().instances_[aShape.regions_ - 1].region_;
}

bool Demo::Run()
{
  const bool isUp = StartFleet() && PublishConfiguration();
  // The later steps give independent results, so they run even if an earlier one failed.
  bool isSuccessful = isUp && CallThroughAllRegions();
  isSuccessful = isUp && DrainLastRegion() && isSuccessful;
  isSuccessful = isUp && CallFromLastRegion() && isSuccessful;
  isSuccessful = isUp && ShowStatus() && isSuccessful;
  const std::size_t killed = fleet_.StopAll(kStopTimeout);
  if (killed > 0) {
    print_(std::to_string(killed) + " processes did not exit on SIGTERM and were killed");
  }
  return isSuccessful && killed == 0;
}

bool Demo::StartFleet()
{
  const TopologyShape& shape = fleet_.GetTopology().shape_;
  print_("Starting " + std::to_string(shape.daemons_) + " daemons and targets in " +
         std::to_string(shape.regions_) + " regions and " + std::to_string(shape.failureDomains_) +
         " failure domains, with the delays between them.");
  fleet_.StartAll();
  const bool isUp = fleet_.WaitForDaemons(kStartTimeout);
  if (!isUp) {
    print_("Not every daemon answered on its admin address.");
  }
  return isUp;
}

bool Demo::PublishConfiguration()
{
  const Topology& topology = fleet_.GetTopology();
  const std::string document = outputFolder_ + "/configuration.json";
  print_("Printing the configuration of " + topology.shape_.user_ + " and publishing it.");
  ChildProcess printer({ programFolder_ + "/" + topology.shape_.user_ + "-config", {}, document });
  if (printer.Wait(kToolTimeout) != 0) {
    print_("The configuration program failed.");
    return false;
  }
  const bool isPublished = RunTool("dandelionctl",
                                   { "publish",
                                     "--file",
                                     document,
                                     "--log",
                                     topology.logAddress_.Get(),
                                     "--wait-in-force",
                                     "15",
                                     "--daemon",
                                     topology.instances_.front().adminAddress_.Get() },
                                   "publish.out");
  const bool isInForce = fleet_.WaitForVersion(common::Version(1), 0, kActivationTimeout);
  print_(isInForce ? "The configuration is active on every daemon."
                   : "The configuration is not active on every daemon.");
  RunFor(loop_, kAnnouncementDelay);
  return isPublished && isInForce;
}

bool Demo::CallThroughAllRegions()
{
  print_("Browsing, look-ups, orders and downloads through every daemon.");
  std::vector<std::string> arguments = { "--rate", "100:5", "--repeat-percent", "50" };
  for (const InstancePlan& instance : fleet_.GetTopology().instances_) {
    arguments.insert(arguments.end(), { "--entry", instance.callerAddress_.Get() });
    arguments.insert(arguments.end(), { "--runs", instance.targetAddress_.Get() });
  }
  return RunLoad("all-regions", arguments);
}

bool Demo::DrainLastRegion()
{
  print_("Stopping the targets of " + lastRegion_.Get() + ".");
  const auto& instances = fleet_.GetTopology().instances_;
  bool isDrained = true;
  for (std::size_t index = 0; index < instances.size(); ++index) {
    if (instances[index].region_ == lastRegion_) {
      isDrained = fleet_.StopTarget(index, kStopTimeout) && isDrained;
    }
  }
  RunFor(loop_, kAnnouncementDelay);
  return isDrained;
}

bool Demo::CallFromLastRegion()
{
  const InstancePlan& entry = *InstancesOf(lastRegion_).front();
  print_("Browsing, orders and a 64 MB download through " + entry.instance_.Get() +
         ", served by targets of another region.");
  std::vector<std::string> base = { "--entry", entry.callerAddress_.Get() };
  for (const InstancePlan& instance : fleet_.GetTopology().instances_) {
    if (instance.region_ != lastRegion_) {
      base.insert(base.end(), { "--runs", instance.targetAddress_.Get() });
    }
  }
  std::vector<std::string> calls = base;
  calls.insert(calls.end(), { "--mix", "browse=3,order=1", "--rate", "40:3" });
  std::vector<std::string> download = base;
  download.insert(download.end(), { "--mix", "download=1", "--rate", "10:10", "--max-calls", "1" });
  download.insert(download.end(), { "--download-bytes", kDownloadBytes });
  const bool areCallsServed = RunLoad("other-region", calls);
  return RunLoad("download-64mb", download) && areCallsServed;
}

bool Demo::ShowStatus()
{
  print_("Active versions by failure domain:");
  const std::string daemon = fleet_.GetTopology().instances_.front().adminAddress_.Get();
  return RunTool("dandelionctl", { "status", "--daemon", daemon }, "status.out");
}

bool Demo::RunTool(const std::string& aProgram,
                   const std::vector<std::string>& aArguments,
                   const std::string& aOutputFile)
{
  const std::string output = outputFolder_ + "/" + aOutputFile;
  ChildProcess tool({ programFolder_ + "/" + aProgram, aArguments, output });
  const std::optional<int> status = tool.Wait(kToolTimeout);
  print_(ReadTextFile(output));
  if (status != 0) {
    print_(aProgram +
           (status ? " exited with status " + std::to_string(*status) : " did not exit in time"));
  }
  return status == 0;
}

bool Demo::RunLoad(const std::string& aName, const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = { "--user", fleet_.GetTopology().shape_.user_ };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  arguments.insert(arguments.end(), { "--report", outputFolder_ + "/" + aName });
  return RunTool("dandelion-load", arguments, aName + ".out");
}

std::vector<const InstancePlan*> Demo::InstancesOf(const common::Region& aRegion) const
{
  std::vector<const InstancePlan*> instances;
  for (const InstancePlan& instance : fleet_.GetTopology().instances_) {
    if (instance.region_ == aRegion) {
      instances.push_back(&instance);
    }
  }
  return instances;
}

} // namespace dandelionstand::load
