//! Measures a fleet of daemon and stand-in processes on the loopback interface. One variable is
//! changed at a time.

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

//! The run number becomes a byte of the IP addresses.
constexpr int kMaxRunNumber = 250;

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
  bool hasNoProxy_ = false;
};

void PrintProgress(const std::string& aLine)
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
  // Concurrent runs on one machine need different addresses.
  shape.runNumber_ = static_cast<std::uint8_t>(1 + getpid() % kMaxRunNumber);
  shape.isProxied_ = !aOptions.hasNoProxy_;
  return shape;
}

load::TestbedSettings MakeSettings(const Options& aOptions)
{
  load::TestbedSettings settings;
  settings.programFolder_ = aOptions.programFolder_;
  settings.outputFolder_ = aOptions.output_ + "/processes";
  return settings;
}

void WriteTable(const Options& aOptions, const std::string& aName, const load::Table& aTable)
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
  WriteTable(aOptions, "convergence", load::RunConvergence(loop, plan, settings, &PrintProgress));
}

void RunCalls(const Options& aOptions)
{
  load::CallsPlan plan;
  plan.shape_ = MakeShape(aOptions, 6);
  plan.shape_.failureDomains_ = aOptions.failureDomains_ > 0 ? aOptions.failureDomains_ : 3;
  // Only the latency of the daemons is measured, without the delays at region borders.
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
  const auto steps = load::RunCalls(loop, plan, MakeSettings(aOptions), &PrintProgress);
  WriteTable(aOptions, "calls", load::MakeCallsTable(steps));
  load::WriteTextFile(aOptions.output_ + "/added.svg",
                      load::ToSvg(load::MakeAddedLatencyPlot(steps)));
}

void RunCapacity(const Options& aOptions)
{
  load::TopologyShape shape = MakeShape(aOptions, 12);
  // The proxy would need more file descriptors than a process may open. Its byte counts are not
  // needed, since the daemons count bytes by border.
  shape.isProxied_ = false;
  // Closes links that were needed only for joining before the first measurement.
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
  const auto samples = load::RunCapacity(loop, plan, MakeSettings(aOptions), &PrintProgress);
  load::WriteTextFile(aOptions.output_ + "/samples.csv", ToCsv(load::MakeSampleTable(samples)));
  WriteTable(aOptions, "slopes", load::MakeSlopeTable(samples));
  WriteTable(aOptions, "target", load::MakeTargetTable(plan, samples));
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
  add(
    "short", options::bool_switch(&aOptions.isShort_), "a short version that takes under a minute");
  add("no-proxy",
      options::bool_switch(&aOptions.hasNoProxy_),
      "no border delays and no byte counts by the proxy");
  add(
    "output", options::value(&aOptions.output_)->default_value(aOptions.output_), "output folder");
  add("programs",
      options::value(&aOptions.programFolder_),
      "folder of the binaries; default: that of this binary");
  add("user",
      options::value(&aOptions.user_)->default_value(aOptions.user_),
      "user whose topology is run");
  add("daemons", options::value(&aOptions.daemons_), "number of daemons in the base fleet");
  add("failure-domains",
      options::value(&aOptions.failureDomains_),
      "number of failure domains in the base fleet");
  add(
    "window", options::value(&aOptions.windowSeconds_), "duration of each measurement in seconds");
  add("settle",
      options::value(&aOptions.settleSeconds_),
      "seconds before the first measurement, for capacity");
  add("repeats", options::value(&aOptions.repeats_), "repetitions of each measurement");
  add("spreading",
      options::value(&aOptions.spreadings_)->default_value(aOptions.spreadings_),
      "spreading protocols to compare, for convergence");
  add("profile",
      options::value(&aOptions.profiles_)->default_value(aOptions.profiles_),
      "profiles to compare, for convergence");
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