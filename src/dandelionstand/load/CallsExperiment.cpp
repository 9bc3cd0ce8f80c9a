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
  bool isOrderStep_ = false;
};

std::vector<PlannedStep> PlanSteps(const CallsPlan& aPlan)
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

//! Services that are called, and their targets: all but those of the entry daemon's service.
struct CalledServices
{
  std::vector<std::string> services_;
  std::vector<common::Address> targets_;
};

CalledServices SelectCalledServices(const Topology& aTopology)
{
  CalledServices called;
  const common::ServiceName& entryService = aTopology.instances_.front().service_;
  for (const std::string& service : ServicesOf(aTopology.shape_)) {
    if (service != entryService.Get()) {
      called.services_.push_back(service);
    }
  }
  for (const InstancePlan& instance : aTopology.instances_) {
    if (instance.service_ != entryService) {
      called.targets_.push_back(instance.targetAddress_);
    }
  }
  return called;
}

LoadSettings MakeLoadSettings(const CallsPlan& aPlan,
                              const CalledServices& aCalled,
                              const PlannedStep& aStep,
                              std::uint64_t aSeed)
{
  LoadSettings settings;
  settings.directTargets_ = aCalled.targets_;
  settings.runCounters_ = aCalled.targets_;
  settings.classes_ = MakeCallClasses(aCalled.services_, aStep.isOrderStep_ ? 100 : 0);
  settings.steps_ = { { aStep.rate_, aPlan.stepDuration_ } };
  settings.seed_ = aSeed;
  return settings;
}

const ClassTally* FindTally(const CallsStepResult& aStep, CallPath aCallPath)
{
  const auto& classes = aStep.results_.tally_.Classes();
  const auto found = classes.find({ aCallPath, 0, aStep.trafficClass_ });
  return found == classes.end() ? nullptr : &found->second;
}

void SetCpuPerCall(const FleetRates& aRates, CallsStepResult& aStep)
{
  const ClassTally* mesh = FindTally(aStep, CallPath::kMesh);
  if (mesh == nullptr || mesh->calls_ == 0) {
    return;
  }
  const double usPerPercent =
    aRates.intervalSeconds_ * kMicrosecondsPerSecond / kPercent / static_cast<double>(mesh->calls_);
  for (const DaemonRates& daemon : aRates.daemons_) {
    const bool isEntry = &daemon == &aRates.daemons_.front();
    (isEntry ? aStep.callerCpuPerCallUs_ : aStep.targetCpuPerCallUs_) +=
      daemon.cpuPercent_ * usPerPercent;
  }
}

double LatencyMs(const ClassTally* aTally, double aQuantile)
{
  if (aTally == nullptr) {
    return 0;
  }
  return static_cast<double>(aTally->latency_.Quantile(aQuantile).count()) /
         kMicrosecondsPerMillisecond;
}

double AddedLatencyMs(const CallsStepResult& aStep, double aQuantile)
{
  return LatencyMs(FindTally(aStep, CallPath::kMesh), aQuantile) -
         LatencyMs(FindTally(aStep, CallPath::kDirect), aQuantile);
}

std::string FormatMs(double aMilliseconds)
{
  return FormatNumber(aMilliseconds, kMillisecondDigits);
}

std::vector<std::string> MakeRow(const CallsStepResult& aStep)
{
  const ClassTally* mesh = FindTally(aStep, CallPath::kMesh);
  const ClassTally* direct = FindTally(aStep, CallPath::kDirect);
  const bool hasDirect = direct != nullptr;
  return { config::ToText(aStep.trafficClass_),
           FormatNumber(aStep.rate_, 0),
           std::to_string(mesh == nullptr ? 0 : mesh->calls_),
           std::to_string(mesh == nullptr ? 0 : mesh->CountOf(Verdict::kWhole)),
           FormatMs(LatencyMs(mesh, 0.5)),
           FormatMs(LatencyMs(mesh, 0.99)),
           hasDirect ? FormatMs(LatencyMs(direct, 0.5)) : "",
           hasDirect ? FormatMs(LatencyMs(direct, 0.99)) : "",
           hasDirect ? FormatMs(AddedLatencyMs(aStep, 0.5)) : "",
           hasDirect ? FormatMs(AddedLatencyMs(aStep, 0.99)) : "",
           FormatNumber(aStep.callerCpuPerCallUs_, 0),
           FormatNumber(aStep.targetCpuPerCallUs_, 0),
           HasBrokenPromise(aStep.results_) ? "broken" : "kept" };
}

} // namespace

std::vector<CallsStepResult> RunCalls(common::EventLoop& aLoop,
                                      const CallsPlan& aPlan,
                                      const TestbedSettings& aSettings,
                                      const ProgressSink& aProgress)
{
  std::vector<CallsStepResult> steps;
  Testbed testbed(aLoop, aPlan.shape_, aSettings);
  const CalledServices called = SelectCalledServices(testbed.GetFleet().GetTopology());
  for (const PlannedStep& planned : PlanSteps(aPlan)) {
    aProgress(FormatNumber(planned.rate_, 0) + (planned.isOrderStep_ ? " orders/s" : " calls/s"));
    CallsStepResult step;
    step.rate_ = planned.rate_;
    step.trafficClass_ = planned.isOrderStep_ ? TrafficClass::kOrder : TrafficClass::kLookup;
    const FleetSample before = testbed.GetFleet().Sample();
    step.results_ =
      testbed.RunLoad(MakeLoadSettings(aPlan, called, planned, aPlan.seed_ + steps.size()), 1);
    SetCpuPerCall(RatesBetween(before, testbed.GetFleet().Sample()), step);
    steps.push_back(std::move(step));
  }
  return steps;
}

Table MakeCallsTable(const std::vector<CallsStepResult>& aSteps)
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
  for (const CallsStepResult& step : aSteps) {
    table.rows_.push_back(MakeRow(step));
  }
  return table;
}

Plot MakeAddedLatencyPlot(const std::vector<CallsStepResult>& aSteps)
{
  Plot plot{ "Latency that the mesh adds to a call",
             { "calls/s, half of them through the mesh", AxisScale::kLogarithmic },
             { "added [ms]" },
             { { "50th percentile", {} }, { "99th percentile", {} } } };
  for (const CallsStepResult& step : aSteps) {
    if (FindTally(step, CallPath::kDirect) != nullptr) {
      plot.series_[0].points_.push_back({ step.rate_, AddedLatencyMs(step, 0.5) });
      plot.series_[1].points_.push_back({ step.rate_, AddedLatencyMs(step, 0.99) });
    }
  }
  return plot;
}

} // namespace dandelionstand::load
