#include "dandelionstand/load/CallsExperiment.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

using common::Duration;
using config::TrafficClass;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kPercent = 100;
constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr int kMillisecondDigits = 3;

struct PlannedStep
{
  double rate_ = 0;
  bool isOrders_ = false;
};

std::vector<PlannedStep> StepsOf(const CallsPlan& aPlan)
{
  std::vector<PlannedStep> steps;
  for (std::uint32_t repeat = 0; repeat < aPlan.repeats_; ++repeat) {
    for (const double rate : aPlan.callsPerSecond_) {
      steps.push_back({ rate, false });
    }
    for (const double rate : aPlan.ordersPerSecond_) {
      steps.push_back({ rate, true });
    }
  }
  return steps;
}

//! Services and targets of other daemons than the entry.
struct CalledSide
{
  std::vector<std::string> services_;
  std::vector<common::Address> targets_;
};

CalledSide MakeCalledSide(const Topology& aTopology)
{
  CalledSide side;
  const common::ServiceName& own = aTopology.instances_.front().service_;
  for (const std::string& service : ServicesOf(aTopology.shape_)) {
    if (service != own.Get()) {
      side.services_.push_back(service);
    }
  }
  for (const InstancePlan& instance : aTopology.instances_) {
    if (instance.service_ != own) {
      side.targets_.push_back(instance.target_);
    }
  }
  return side;
}

LoadSettings MakeLoad(const CallsPlan& aPlan,
                      const CalledSide& aSide,
                      const PlannedStep& aStep,
                      std::uint64_t aSeed)
{
  LoadSettings settings;
  settings.directTargets_ = aSide.targets_;
  settings.runCounters_ = aSide.targets_;
  settings.classes_ = MakeCallClasses(aSide.services_, aStep.isOrders_ ? 100 : 0);
  settings.steps_ = { { aStep.rate_, aPlan.stepDuration_ } };
  settings.seed_ = aSeed;
  return settings;
}

const ClassTally* FindTally(const CallsStep& aStep, Via aVia)
{
  const auto& classes = aStep.results_.tally_.Classes();
  const auto found = classes.find({ aVia, 0, aStep.trafficClass_ });
  return found == classes.end() ? nullptr : &found->second;
}

void SetCpuByCall(const FleetRates& aRates, CallsStep& aStep)
{
  const ClassTally* mesh = FindTally(aStep, Via::kMesh);
  if (mesh == nullptr || mesh->calls_ == 0) {
    return;
  }
  const double usPerPercent =
    aRates.seconds_ * kMicrosecondsPerSecond / kPercent / static_cast<double>(mesh->calls_);
  for (const DaemonRates& daemon : aRates.daemons_) {
    const bool isEntry = &daemon == &aRates.daemons_.front();
    (isEntry ? aStep.callerCpuUs_ : aStep.targetCpuUs_) += daemon.cpuPercent_ * usPerPercent;
  }
}

double MillisecondsOf(const ClassTally* aTally, double aQuantile)
{
  if (aTally == nullptr) {
    return 0;
  }
  return static_cast<double>(aTally->latency_.Quantile(aQuantile).count()) /
         kMicrosecondsPerMillisecond;
}

double AddedMs(const CallsStep& aStep, double aQuantile)
{
  return MillisecondsOf(FindTally(aStep, Via::kMesh), aQuantile) -
         MillisecondsOf(FindTally(aStep, Via::kDirect), aQuantile);
}

std::string FormatMs(double aMilliseconds)
{
  return FormatNumber(aMilliseconds, kMillisecondDigits);
}

std::vector<std::string> MakeRow(const CallsStep& aStep)
{
  const ClassTally* mesh = FindTally(aStep, Via::kMesh);
  const ClassTally* direct = FindTally(aStep, Via::kDirect);
  const bool hasDirect = direct != nullptr;
  return { config::ToText(aStep.trafficClass_),
           FormatNumber(aStep.rate_, 0),
           std::to_string(mesh == nullptr ? 0 : mesh->calls_),
           std::to_string(mesh == nullptr ? 0 : mesh->CountOf(Verdict::kWhole)),
           FormatMs(MillisecondsOf(mesh, 0.5)),
           FormatMs(MillisecondsOf(mesh, 0.99)),
           hasDirect ? FormatMs(MillisecondsOf(direct, 0.5)) : "",
           hasDirect ? FormatMs(MillisecondsOf(direct, 0.99)) : "",
           hasDirect ? FormatMs(AddedMs(aStep, 0.5)) : "",
           hasDirect ? FormatMs(AddedMs(aStep, 0.99)) : "",
           FormatNumber(aStep.callerCpuUs_, 0),
           FormatNumber(aStep.targetCpuUs_, 0),
           HasBrokenPromise(aStep.results_) ? "broken" : "kept" };
}

} // namespace

std::vector<CallsStep> RunCalls(common::EventLoop& aLoop,
                                const CallsPlan& aPlan,
                                const TestbedSettings& aSettings,
                                const ProgressSink& aProgress)
{
  std::vector<CallsStep> steps;
  Bench bench(aLoop, aPlan.shape_, aSettings);
  const CalledSide side = MakeCalledSide(bench.GetFleet().GetTopology());
  for (const PlannedStep& planned : StepsOf(aPlan)) {
    aProgress(FormatNumber(planned.rate_, 0) + (planned.isOrders_ ? " orders/s" : " calls/s"));
    CallsStep step;
    step.rate_ = planned.rate_;
    step.trafficClass_ = planned.isOrders_ ? TrafficClass::kOrder : TrafficClass::kLookup;
    const FleetSample before = bench.GetFleet().Sample();
    step.results_ = bench.RunLoad(MakeLoad(aPlan, side, planned, aPlan.seed_ + steps.size()), 1);
    SetCpuByCall(RatesBetween(before, bench.GetFleet().Sample()), step);
    steps.push_back(std::move(step));
  }
  return steps;
}

Table MakeCallsTable(const std::vector<CallsStep>& aSteps)
{
  Table table{ { "class",
                 "rate/s",
                 "mesh_calls",
                 "mesh_whole",
                 "mesh_p50_ms",
                 "mesh_p99_ms",
                 "direct_p50_ms",
                 "direct_p99_ms",
                 "added_p50_ms",
                 "added_p99_ms",
                 "caller_cpu_us",
                 "target_cpu_us",
                 "promises" },
               {} };
  for (const CallsStep& step : aSteps) {
    table.rows_.push_back(MakeRow(step));
  }
  return table;
}

Plot MakeAddedLatencyPlot(const std::vector<CallsStep>& aSteps)
{
  Plot plot{ "Latency that the mesh adds to a call",
             { "calls/s, half of them through the mesh", AxisScale::kLogarithmic },
             { "added [ms]" },
             { { "50th percentile", {} }, { "99th percentile", {} } } };
  for (const CallsStep& step : aSteps) {
    if (FindTally(step, Via::kDirect) != nullptr) {
      plot.series_[0].points_.push_back({ step.rate_, AddedMs(step, 0.5) });
      plot.series_[1].points_.push_back({ step.rate_, AddedMs(step, 0.99) });
    }
  }
  return plot;
}

} // namespace dandelionstand::load
