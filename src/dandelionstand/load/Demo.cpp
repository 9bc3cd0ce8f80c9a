#include "dandelionstand/load/Demo.h"

#include "dandelionstand/load/Fetch.h"
#include "dandelionstand/load/TextFile.h"

#include <utility>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr Duration kStartLimit = std::chrono::seconds(30);
constexpr Duration kInForceLimit = std::chrono::seconds(15);
constexpr Duration kToolLimit = std::chrono::seconds(120);
constexpr Duration kStopLimit = std::chrono::seconds(15);
constexpr Duration kAnnounceTime = std::chrono::seconds(2);
constexpr const char* kDownloadBytes = "67108864"; // 64 MB

FleetSettings MakeFleetSettings(const std::string& aPrograms, const std::string& aFolder)
{
  FleetSettings settings;
  settings.programFolder_ = aPrograms;
  settings.outputFolder_ = aFolder + "/processes";
  return settings;
}

} // namespace

Demo::Demo(common::EventLoop& aLoop,
           const TopologyShape& aShape,
           std::string aPrograms,
           std::string aFolder,
           Print aPrint)
  : loop_(aLoop)
  , programFolder_(std::move(aPrograms))
  , outputFolder_(std::move(aFolder))
  , print_(std::move(aPrint))
  , fleet_(aLoop, MakeTopology(aShape), MakeFleetSettings(programFolder_, outputFolder_))
{
  lastRegion_ = fleet_.GetTopology().instances_[aShape.regions_ - 1].region_;
}

bool Demo::Run()
{
  const bool isUp = StartFleet() && PublishConfiguration();
  // Each later step says something of its own, so one that fails does not skip the next.
  bool isGood = isUp && CallThroughAllRegions();
  isGood = isUp && DrainLastRegion() && isGood;
  isGood = isUp && CallFromLastRegion() && isGood;
  isGood = isUp && ShowStatus() && isGood;
  const std::size_t killed = fleet_.StopAll(kStopLimit);
  if (killed > 0) {
    print_(std::to_string(killed) + " processes did not end by themselves");
  }
  return isGood && killed == 0;
}

bool Demo::StartFleet()
{
  const TopologyShape& shape = fleet_.GetTopology().shape_;
  print_("Starting " + std::to_string(shape.daemons_) + " daemons and targets in " +
         std::to_string(shape.regions_) + " regions and " + std::to_string(shape.failureDomains_) +
         " failure domains, with the delays between them.");
  fleet_.StartAll();
  const bool isUp = fleet_.WaitForAnswers(kStartLimit);
  if (!isUp) {
    print_("Not every daemon came up.");
  }
  return isUp;
}

bool Demo::PublishConfiguration()
{
  const Topology& topology = fleet_.GetTopology();
  const std::string document = outputFolder_ + "/configuration.json";
  print_("Printing the configuration of " + topology.shape_.user_ + " and publishing it.");
  ChildProcess printer({ programFolder_ + "/" + topology.shape_.user_ + "-config", {}, document });
  if (printer.Wait(kToolLimit) != 0) {
    print_("The configuration program failed.");
    return false;
  }
  const bool isPublished = RunTool("dandelionctl",
                                   { "publish",
                                     "--file",
                                     document,
                                     "--log",
                                     topology.log_.Get(),
                                     "--wait-in-force",
                                     "15",
                                     "--daemon",
                                     topology.instances_.front().admin_.Get() },
                                   "publish.out");
  const bool isInForce = fleet_.WaitForVersion(common::Version(1), 0, kInForceLimit);
  print_(isInForce ? "In force on every daemon." : "Not in force on every daemon.");
  RunFor(loop_, kAnnounceTime);
  return isPublished && isInForce;
}

bool Demo::CallThroughAllRegions()
{
  print_("Browsing, look-ups, orders and downloads through every daemon.");
  std::vector<std::string> arguments = { "--rate", "100:5", "--repeat-percent", "50" };
  for (const InstancePlan& instance : fleet_.GetTopology().instances_) {
    arguments.insert(arguments.end(), { "--entry", instance.callers_.Get() });
    arguments.insert(arguments.end(), { "--runs", instance.target_.Get() });
  }
  return RunLoad("all-regions", arguments);
}

bool Demo::DrainLastRegion()
{
  print_("The targets of " + lastRegion_.Get() + " leave.");
  const auto& instances = fleet_.GetTopology().instances_;
  bool isDrained = true;
  for (std::size_t index = 0; index < instances.size(); ++index) {
    if (instances[index].region_ == lastRegion_) {
      isDrained = fleet_.StopTarget(index, kStopLimit) && isDrained;
    }
  }
  RunFor(loop_, kAnnounceTime);
  return isDrained;
}

bool Demo::CallFromLastRegion()
{
  const InstancePlan& entry = *InstancesOf(lastRegion_).front();
  print_("Browsing, orders and a 64 MB download through " + entry.instance_.Get() +
         ", so from targets of another region.");
  std::vector<std::string> base = { "--entry", entry.callers_.Get() };
  for (const InstancePlan& instance : fleet_.GetTopology().instances_) {
    if (instance.region_ != lastRegion_) {
      base.insert(base.end(), { "--runs", instance.target_.Get() });
    }
  }
  std::vector<std::string> calls = base;
  calls.insert(calls.end(), { "--mix", "browse=3,order=1", "--rate", "40:3" });
  std::vector<std::string> download = base;
  download.insert(download.end(), { "--mix", "download=1", "--rate", "10:10", "--max-calls", "1" });
  download.insert(download.end(), { "--download-bytes", kDownloadBytes });
  const bool isCalled = RunLoad("other-region", calls);
  return RunLoad("download-64mb", download) && isCalled;
}

bool Demo::ShowStatus()
{
  print_("Versions in force by failure domain:");
  const std::string daemon = fleet_.GetTopology().instances_.front().admin_.Get();
  return RunTool("dandelionctl", { "status", "--daemon", daemon }, "status.out");
}

bool Demo::RunTool(const std::string& aProgram,
                   const std::vector<std::string>& aArguments,
                   const std::string& aOutputFile)
{
  const std::string output = outputFolder_ + "/" + aOutputFile;
  ChildProcess tool({ programFolder_ + "/" + aProgram, aArguments, output });
  const std::optional<int> status = tool.Wait(kToolLimit);
  print_(ReadTextFile(output));
  if (status != 0) {
    print_(aProgram + (status ? " ended with " + std::to_string(*status) : " did not end in time"));
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
