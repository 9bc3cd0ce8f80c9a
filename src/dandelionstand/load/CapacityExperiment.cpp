#include "dandelionstand/load/CapacityExperiment.h"

#include "dandelionstand/load/CapacityMetrics.h"
#include "dandelionstand/load/Fetch.h"

#include <exception>
#include <memory>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr double kSecondsPerHour = 3600;
constexpr double kPercent = 100;
constexpr double kTargetDaemons = 1400;
constexpr double kTargetDomains = 10;
constexpr double kTargetServices = 79;
constexpr double kTargetRoutes = 10;
constexpr double kTargetChanges = 200; // 4,800 a day
constexpr double kTargetRestarts = 10; // 240 a day
constexpr double kTargetCalls = 230'000 / kTargetDaemons;
constexpr double kTargetOrders = kTargetCalls / 100;
constexpr Duration kShortWindow = std::chrono::seconds(2);

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

void SetRoutes(CapacityPoint& aPoint, double aValue)
{
  aPoint.routesPerService_ = static_cast<std::uint32_t>(aValue);
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

BenchSettings SettingsOf(const CapacityPoint& aPoint, const BenchSettings& aSettings)
{
  BenchSettings settings = aSettings;
  settings.routesPerService_ = aPoint.routesPerService_;
  settings.hasTargets_ = aPoint.callsPerSecond_ + aPoint.ordersPerSecond_ > 0;
  return settings;
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
    plan.window_ = kShortWindow;
    plan.sweeps_ = {
      { "daemons", daemons, kTargetDaemons, true, { 6, 24 }, &SetDaemons },
      { "services", services, kTargetServices, true, { 3, 79 }, &SetServices },
      { "changes/h", 0, kTargetChanges, true, { 0, 7200 }, &SetChanges },
      { "calls/s a daemon", 0, kTargetCalls, false, { 0, 20 }, &SetCalls },
    };
    return plan;
  }
  plan.sweeps_ = {
    { "daemons", daemons, kTargetDaemons, true, { 6, 18, 48, 96 }, &SetDaemons },
    { "failure domains", domains, kTargetDomains, true, { 3, 6, 10 }, &SetFailureDomains },
    { "services", services, kTargetServices, true, { 3, 30, 79 }, &SetServices },
    { "routes a service", 2, kTargetRoutes, true, { 2, 50, 200 }, &SetRoutes },
    { "changes/h", 0, kTargetChanges, true, { 0, 3600, 14'400 }, &SetChanges },
    { "restarts/h", 0, kTargetRestarts, true, { 0, 900, 1800 }, &SetRestarts },
    { "calls/s a daemon", 0, kTargetCalls, false, { 0, 20, 100 }, &SetCalls },
    { "orders/s a daemon", 0, kTargetOrders, false, { 0, 0.5, 1.6 }, &SetOrders },
  };
  return plan;
}

std::vector<CapacitySample> RunCapacity(common::EventLoop& aLoop,
                                        const CapacityPlan& aPlan,
                                        const BenchSettings& aSettings,
                                        const ProgressSink& aProgress)
{
  std::vector<CapacitySample> samples;
  std::size_t number = 0;
  for (const CapacitySweep& sweep : aPlan.sweeps_) {
    for (const double value : sweep.values_) {
      CapacityPoint point = aPlan.base_;
      sweep.apply_(point, value);
      const std::string name = sweep.variable_ + " = " + FormatNumber(value, 0);
      BenchSettings settings = SettingsOf(point, aSettings);
      settings.folder_ += "/point-" + std::to_string(++number);
      aProgress(name);
      try {
        Bench bench(aLoop, point.shape_, settings);
        for (std::uint32_t repeat = 0; repeat < aPlan.repeats_; ++repeat) {
          const FleetRates rates = MeasurePoint(aLoop, bench, point, aPlan.window_);
          AddMetrics(sweep.variable_, value, rates, samples);
        }
      } catch (const std::exception& error) {
        aProgress("not measured: " + name + ": " + error.what());
      }
    }
  }
  return samples;
}

} // namespace dandelionstand::load
