#include "dandelionstand/load/CapacityExperiment.h"

#include "dandelionstand/load/CapacityMetrics.h"
#include "dandelionstand/load/Fetch.h"

#include <exception>
#include <memory>
#include <utility>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr double kSecondsPerHour = 3600;
constexpr double kPercent = 100;
constexpr Duration kShortWindow = std::chrono::seconds(2);
constexpr Duration kShortSettle = std::chrono::seconds(4);
constexpr double kTargetDaemons = 1400;
constexpr double kTargetDomains = 10;
constexpr double kTargetServices = 79;
constexpr double kTargetChanges = 200; // 4,800 a day
constexpr double kTargetRestarts = 10; // 240 a day
constexpr double kTargetCalls = 230'000 / kTargetDaemons;
constexpr double kTargetOrders = kTargetCalls / 100;

void SetDaemons(CapacityPoint& aPoint, double aValue)
{
  aPoint.shape_.daemons_ = static_cast<std::uint32_t>(aValue);
}

void SetFailureDomains(CapacityPoint& aPoint, double aValue)
{
  aPoint.shape_.failureDomains_ = static_cast<std::uint32_t>(aValue);
}

void SetServices(CapacityPoint& aPoint, double aValue)
{
  aPoint.shape_.services_ = static_cast<std::uint32_t>(aValue);
}

void SetChanges(CapacityPoint& aPoint, double aValue)
{
  aPoint.changesPerHour_ = aValue;
}

void SetRestarts(CapacityPoint& aPoint, double aValue)
{
  aPoint.restartsPerHour_ = aValue;
}

void SetCalls(CapacityPoint& aPoint, double aValue)
{
  aPoint.callsPerSecond_ = aValue;
}

void SetOrders(CapacityPoint& aPoint, double aValue)
{
  aPoint.ordersPerSecond_ = aValue;
}

std::unique_ptr<common::Watch> RepeatPerHour(common::EventLoop& aLoop,
                                             double aPerHour,
                                             std::function<void()> aAction)
{
  if (aPerHour <= 0) {
    return nullptr;
  }
  const std::chrono::duration<double> interval(kSecondsPerHour / aPerHour);
  return aLoop.Every(std::chrono::duration_cast<Duration>(interval), std::move(aAction));
}

LoadSettings MakeLoad(const CapacityPoint& aPoint, Duration aWindow)
{
  LoadSettings settings;
  const double rateOfOne = aPoint.callsPerSecond_ + aPoint.ordersPerSecond_;
  const double rate = rateOfOne * aPoint.shape_.daemons_;
  const auto orderPercent =
    static_cast<std::uint32_t>(aPoint.ordersPerSecond_ / rateOfOne * kPercent);
  settings.classes_ = MakeCallClasses(ServicesOf(aPoint.shape_), orderPercent);
  settings.steps_ = { { rate, aWindow } };
  return settings;
}

//! Publishes and restarts at the rates of the point while the fleet is measured.
FleetRates MeasurePoint(common::EventLoop& aLoop,
                        Bench& aBench,
                        const CapacityPoint& aPoint,
                        Duration aWindow)
{
  std::size_t restarted = 0;
  std::uint32_t due = 0;
  const auto changes = RepeatPerHour(aLoop, aPoint.changesPerHour_, [&due]() { due += 1; });
  const auto restarts = RepeatPerHour(aLoop, aPoint.restartsPerHour_, [&]() {
    aBench.RestartDaemon(restarted++ % aPoint.shape_.daemons_);
  });
  const FleetSample before = aBench.GetFleet().Sample();
  if (aPoint.callsPerSecond_ + aPoint.ordersPerSecond_ > 0) {
    aBench.RunLoad(MakeLoad(aPoint, aWindow), aPoint.shape_.daemons_);
  }
  const common::TimePoint end = before.time_ + aWindow;
  while (common::Now() < end) {
    RunFor(aLoop, std::chrono::milliseconds(20));
    // Publishing runs the loop itself, so it cannot be done from within a timer.
    for (; due > 0; --due) {
      aBench.PublishNext();
    }
  }
  return RatesBetween(before, aBench.GetFleet().Sample());
}

} // namespace

CapacityPlan MakeCapacityPlan(const TopologyShape& aShape, bool aIsShort)
{
  CapacityPlan plan;
  plan.base_.shape_ = aShape;
  const double daemons = aShape.daemons_;
  const double domains = aShape.failureDomains_;
  const double services = aShape.services_;
  if (aIsShort) {
    plan.measurementWindow_ = kShortWindow;
    plan.settleDuration_ = kShortSettle;
    plan.sweeps_ = {
      { "daemons", daemons, kTargetDaemons, true, { daemons, 2 * daemons }, &SetDaemons },
      { "services", services, kTargetServices, true, { services, 79 }, &SetServices },
      { "changes/h", 0, kTargetChanges, true, { 0, 7200 }, &SetChanges },
      { "calls/s a daemon", 0, kTargetCalls, false, { 0, 20 }, &SetCalls },
    };
    return plan;
  }
  plan.sweeps_ = {
    { "daemons", daemons, kTargetDaemons, true, { daemons, 48, 120 }, &SetDaemons },
    { "failure domains", domains, kTargetDomains, true, { domains, 10 }, &SetFailureDomains },
    { "services", services, kTargetServices, true, { services, 79 }, &SetServices },
    { "changes/h", 0, kTargetChanges, true, { 0, 14'400 }, &SetChanges },
    { "restarts/h", 0, kTargetRestarts, true, { 0, 1800 }, &SetRestarts },
    { "calls/s a daemon", 0, kTargetCalls, false, { 0, 50 }, &SetCalls },
    { "orders/s a daemon", 0, kTargetOrders, false, { 0, 1.6 }, &SetOrders },
  };
  return plan;
}

namespace {

//! Measures the points of a plan one after the other; the base point only once.
class CapacityRun
{
public:
  CapacityRun(common::EventLoop& aLoop,
              const CapacityPlan& aPlan,
              TestbedSettings aSettings,
              ProgressSink aProgress)
    : loop_(aLoop)
    , plan_(aPlan)
    , settings_(std::move(aSettings))
    , progress_(std::move(aProgress))
  {
  }

  std::vector<CapacitySample> Run()
  {
    base_ = Measure(plan_.base_, "base");
    for (const CapacitySweep& sweep : plan_.sweeps_) {
      for (const double value : sweep.values_) {
        AddPoint(sweep, value);
      }
    }
    return samples_;
  }

private:
  void AddPoint(const CapacitySweep& aSweep, double aValue)
  {
    if (aValue == aSweep.base_) {
      AddSamples(aSweep, aValue, base_);
      return;
    }
    CapacityPoint point = plan_.base_;
    aSweep.apply_(point, aValue);
    const std::string name = aSweep.variable_ + " = " + FormatNumber(aValue, 1);
    AddSamples(aSweep, aValue, Measure(point, name));
  }

  std::vector<FleetRates> Measure(const CapacityPoint& aPoint, const std::string& aName)
  {
    progress_(aName);
    TestbedSettings settings = settings_;
    settings.settleDuration_ =
      plan_.settleDuration_ + aPoint.shape_.daemons_ * plan_.settlePerDaemon_;
    settings.routesPerService_ = aPoint.routesPerService_;
    settings.outputFolder_ += "/point-" + std::to_string(++number_);
    std::vector<FleetRates> rates;
    try {
      Bench bench(loop_, aPoint.shape_, settings);
      for (std::uint32_t repeat = 0; repeat < plan_.repeats_; ++repeat) {
        rates.push_back(MeasurePoint(loop_, bench, aPoint, plan_.measurementWindow_));
      }
    } catch (const std::exception& error) {
      progress_("not measured: " + aName + ": " + error.what());
    }
    return rates;
  }

  void AddSamples(const CapacitySweep& aSweep, double aValue, const std::vector<FleetRates>& aRates)
  {
    for (const FleetRates& rates : aRates) {
      AddMetrics(aSweep.variable_, aValue, rates, samples_);
    }
  }

  common::EventLoop& loop_;
  const CapacityPlan& plan_;
  TestbedSettings settings_;
  ProgressSink progress_;
  std::vector<FleetRates> base_;
  std::vector<CapacitySample> samples_;
  std::size_t number_ = 0;
};

} // namespace

std::vector<CapacitySample> RunCapacity(common::EventLoop& aLoop,
                                        const CapacityPlan& aPlan,
                                        const TestbedSettings& aSettings,
                                        const ProgressSink& aProgress)
{
  return CapacityRun(aLoop, aPlan, aSettings, aProgress).Run();
}

} // namespace dandelionstand::load
