//! Measures a fleet of real daemons and stand-ins on loopback, one thing varied at a time.

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/load/CallsExperiment.h"
#include "dandelionstand/load/CapacityExperiment.h"
#include "dandelionstand/load/ConvergenceExperiment.h"
#include "dandelionstand/load/Demo.h"
#include "dandelionstand/load/TextFile.h"

#include <boost/program_options.hpp>

#include <unistd.h>

#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

enum ExitStatus
{
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
};

constexpr int kMostRuns = 250;

struct Options
{
  std::string mode_;
  std::string programFolder_;
  std::string output_ = "experiment-output";
  std::string user_ = "zafukreis";
  std::string spreadings_ = "tree,direct,gossip";
  std::string profiles_ = "time,bytes";
  std::uint32_t daemons_ = 0;
  std::uint32_t failureDomains_ = 0;
  std::uint32_t repeats_ = 0;
  double windowSeconds_ = 0;
  double settleSeconds_ = 0;
  bool isShort_ = false;
  bool isUnproxied_ = false;
};

void Progress(const std::string& aLine)
{
  std::cerr << aLine << "\n";
}

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

common::Duration ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(aSeconds));
}

load::TopologyShape MakeShape(const Options& aOptions, std::uint32_t aDaemons)
{
  load::TopologyShape shape;
  shape.user_ = aOptions.user_;
  shape.daemons_ = aOptions.daemons_ > 0 ? aOptions.daemons_ : aDaemons;
  shape.failureDomains_ = aOptions.failureDomains_ > 0 ? aOptions.failureDomains_ : 6;
  // Runs at the same time on one machine get different addresses.
  shape.runNumber_ = static_cast<std::uint8_t>(1 + getpid() % kMostRuns);
  shape.isProxied_ = !aOptions.isUnproxied_;
  return shape;
}

load::TestbedSettings MakeSettings(const Options& aOptions)
{
  load::TestbedSettings settings;
  settings.programFolder_ = aOptions.programFolder_;
  settings.outputFolder_ = aOptions.output_ + "/processes";
  return settings;
}

void Write(const Options& aOptions, const std::string& aName, const load::Table& aTable)
{
  std::cout << load::ToText(aTable) << "\n";
  load::WriteTextFile(aOptions.output_ + "/" + aName + ".csv", load::ToCsv(aTable));
  load::WriteTextFile(aOptions.output_ + "/" + aName + ".txt", load::ToText(aTable));
}

void RunConvergence(const Options& aOptions)
{
  load::ConvergencePlan plan;
  plan.shape_ = MakeShape(aOptions, 18);
  plan.spreadings_ = SplitList(aOptions.spreadings_);
  plan.profiles_ = SplitList(aOptions.profiles_);
  if (aOptions.isShort_) {
    plan.spreadings_ = { "tree" };
    plan.publishCount_ = 6;
    plan.idleWindow_ = std::chrono::seconds(3);
  }
  if (aOptions.windowSeconds_ > 0) {
    plan.idleWindow_ = ToDuration(aOptions.windowSeconds_);
  }
  load::TestbedSettings settings = MakeSettings(aOptions);
  settings.hasTargets_ = false;
  common::EventLoop loop;
  Write(aOptions, "convergence", load::RunConvergence(loop, plan, settings, &Progress));
}

void RunCalls(const Options& aOptions)
{
  load::CallsPlan plan;
  plan.shape_ = MakeShape(aOptions, 6);
  plan.shape_.failureDomains_ = aOptions.failureDomains_ > 0 ? aOptions.failureDomains_ : 3;
  // The latency of the daemons themselves is measured, not that of borders.
  plan.shape_.isProxied_ = false;
  if (aOptions.isShort_) {
    plan.callsPerSecond_ = { 328, 2000 };
    plan.stepDuration_ = std::chrono::seconds(3);
    plan.repeats_ = 1;
  }
  if (aOptions.windowSeconds_ > 0) {
    plan.stepDuration_ = ToDuration(aOptions.windowSeconds_);
  }
  if (aOptions.repeats_ > 0) {
    plan.repeats_ = aOptions.repeats_;
  }
  common::EventLoop loop;
  const auto steps = load::RunCalls(loop, plan, MakeSettings(aOptions), &Progress);
  Write(aOptions, "calls", load::MakeCallsTable(steps));
  load::WriteTextFile(aOptions.output_ + "/added.svg",
                      load::ToSvg(load::MakeAddedLatencyPlot(steps)));
}

void RunCapacity(const Options& aOptions)
{
  load::TopologyShape shape = MakeShape(aOptions, 12);
  // The proxy would need more descriptors than a process has; the daemons count bytes by border.
  shape.isProxied_ = false;
  // Links that only joining needed are closed before the first measurement.
  shape.idleCloseTimeout_ = std::chrono::seconds(2);
  load::CapacityPlan plan = load::MakeCapacityPlan(shape, aOptions.isShort_);
  if (aOptions.windowSeconds_ > 0) {
    plan.measurementWindow_ = ToDuration(aOptions.windowSeconds_);
  }
  if (aOptions.settleSeconds_ > 0) {
    plan.settleDuration_ = ToDuration(aOptions.settleSeconds_);
  }
  if (aOptions.repeats_ > 0) {
    plan.repeats_ = aOptions.repeats_;
  }
  common::EventLoop loop;
  const auto samples = load::RunCapacity(loop, plan, MakeSettings(aOptions), &Progress);
  load::WriteTextFile(aOptions.output_ + "/samples.csv", ToCsv(load::MakeSampleTable(samples)));
  Write(aOptions, "slopes", load::MakeSlopeTable(samples));
  Write(aOptions, "target", load::MakeTargetTable(plan, samples));
  std::size_t number = 0;
  for (const load::Plot& plot : load::MakeCapacityPlots(samples)) {
    const std::string name = "/capacity-" + std::to_string(++number) + ".svg";
    load::WriteTextFile(aOptions.output_ + name, load::ToSvg(plot));
  }
}

bool RunDemo(const Options& aOptions)
{
  common::EventLoop loop;
  load::Demo demo(loop,
                  MakeShape(aOptions, 18),
                  aOptions.programFolder_,
                  aOptions.output_,
                  [](const std::string& aText) { std::cout << aText << std::endl; });
  return demo.Run();
}

options::options_description Describe(Options& aOptions)
{
  options::options_description description("dandelion-experiment convergence|calls|capacity|demo");
  auto add = description.add_options();
  add("help", "print this text");
  add("mode", options::value(&aOptions.mode_), "convergence, calls, capacity or demo");
  add("short", options::bool_switch(&aOptions.isShort_), "a version that takes under a minute");
  add("no-proxy",
      options::bool_switch(&aOptions.isUnproxied_),
      "no border delays and no byte counts");
  add("output", options::value(&aOptions.output_)->default_value(aOptions.output_), "folder");
  add("programs",
      options::value(&aOptions.programFolder_),
      "folder of the binaries; default: this one's");
  add("user", options::value(&aOptions.user_)->default_value(aOptions.user_), "whose topology");
  add("daemons", options::value(&aOptions.daemons_), "in the base fleet");
  add("failure-domains", options::value(&aOptions.failureDomains_), "in the base fleet");
  add("window", options::value(&aOptions.windowSeconds_), "seconds of each measurement");
  add("settle", options::value(&aOptions.settleSeconds_), "seconds before it, for capacity");
  add("repeats", options::value(&aOptions.repeats_), "of each measurement");
  add("spreading",
      options::value(&aOptions.spreadings_)->default_value(aOptions.spreadings_),
      "for convergence");
  add("profile",
      options::value(&aOptions.profiles_)->default_value(aOptions.profiles_),
      "for convergence");
  return description;
}

bool RunMode(Options aOptions, const std::string& aOwnPath)
{
  if (aOptions.programFolder_.empty()) {
    aOptions.programFolder_ = std::filesystem::read_symlink(aOwnPath).parent_path().string();
  }
  std::filesystem::create_directories(aOptions.output_);
  if (aOptions.mode_ == "convergence") {
    RunConvergence(aOptions);
  } else if (aOptions.mode_ == "calls") {
    RunCalls(aOptions);
  } else if (aOptions.mode_ == "capacity") {
    RunCapacity(aOptions);
  } else if (aOptions.mode_ == "demo") {
    return RunDemo(aOptions);
  } else {
    throw options::error("the mode must be convergence, calls, capacity or demo");
  }
  return true;
}

} // namespace

int main(int argc, char** argv)
{
  common::StartEventLog("dandelion-experiment", common::Severity::kWarn);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Options parsed;
    const options::options_description description = Describe(parsed);
    options::positional_options_description positions;
    positions.add("mode", 1);
    options::variables_map values;
    options::store(
      options::command_line_parser(argc, argv).options(description).positional(positions).run(),
      values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return kSuccess;
    }
    return RunMode(parsed, "/proc/self/exe") ? kSuccess : kFailure;
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    return kUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kFailure;
  }
}
