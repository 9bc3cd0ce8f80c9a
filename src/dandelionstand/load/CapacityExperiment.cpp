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
constexpr Duration kShortSettleDuration = std::chrono::seconds(4);
constexpr double kTargetDaemons = 1400;
constexpr double kTargetDomains = 10;
constexpr double kTargetServices = 79;
constexpr double kTargetChangesPerHour = 200; // 4,800 a day
constexpr double kTargetRestartsPerHour = 10; // 240 a day
// Per daemon; 230,000 calls/s in the whole fleet.
constexpr double kTargetCallsPerSecond = 230'000 / kTargetDaemons;
constexpr double kTargetOrdersPerSecond = kTargetCallsPerSecond / 100;

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

LoadSettings MakeLoadSettings(const CapacityPoint& aPoint, Duration aWindow)
{
  LoadSettings settings;
  const double ratePerDaemon = aPoint.callsPerSecond_ + aPoint.ordersPerSecond_;
  const double rate = ratePerDaemon * aPoint.shape_.daemons_;
  const auto orderPercent =
    static_cast<std::uint32_t>(aPoint.ordersPerSecond_ / ratePerDaemon * kPercent);
  settings.classes_ = MakeCallClasses(ServicesOf(aPoint.shape_), orderPercent);
  settings.steps_ = { { rate, aWindow } };
  return settings;
}

//! Measures the fleet while configurations are published, daemons restarted and calls sent at the
//! rates of the point.
FleetRates MeasurePoint(common::EventLoop& aLoop,
                        Testbed& aTestbed,
                        const CapacityPoint& aPoint,
                        Duration aWindow)
{
  std::size_t restartCount = 0;
  std::uint32_t duePublishes = 0;
  const auto changes =
    RepeatPerHour(aLoop, aPoint.changesPerHour_, [&duePublishes]() { duePublishes += 1; });
  const auto restarts = RepeatPerHour(aLoop, aPoint.restartsPerHour_, [&]() {
    aTestbed.RestartDaemon(restartCount++ % aPoint.shape_.daemons_);
  });
  const FleetSample before = aTestbed.GetFleet().Sample();
  if (aPoint.callsPerSecond_ + aPoint.ordersPerSecond_ > 0) {
    aTestbed.RunLoad(MakeLoadSettings(aPoint, aWindow), aPoint.shape_.daemons_);
  }
  const common::TimePoint end = before.sampledAt_ + aWindow;
  while (common::Now() < end) {
    RunFor(aLoop, std::chrono::milliseconds(20));
    // Publishing runs the event loop, so it must not be called from a timer of that loop.
    for (; duePublishes > 0; --duePublishes) {
      aTestbed.PublishNextRevision();
    }
  }
  return RatesBetween(before, aTestbed.GetFleet().Sample());
}

} // namespace

CapacityPlan MakeCapacityPlan(const TopologyShape& aShape, bool aIsShort)
{
  CapacityPlan plan;
  plan.basePoint_.shape_ = aShape;
  const double daemons = aShape.daemons_;
  const double domains = aShape.failureDomains_;
  const double services = aShape.services_;
  if (aIsShort) {
    plan.measurementWindow_ = kShortWindow;
    plan.settleDuration_ = kShortSettleDuration;
    plan.sweeps_ = {
      { "daemons", daemons, kTargetDaemons, true, { daemons, 2 * daemons }, &SetDaemons },
      { "services", services, kTargetServices, true, { services, 79 }, &SetServices },
      { "changes/h", 0, kTargetChangesPerHour, true, { 0, 7200 }, &SetChanges },
      { "calls/s a daemon", 0, kTargetCallsPerSecond, false, { 0, 20 }, &SetCalls },
    };
    return plan;
  }
  plan.sweeps_ = {
    { "daemons", daemons, kTargetDaemons, true, { daemons, 48, 120 }, &SetDaemons },
    { "failure domains", domains, kTargetDomains, true, { domains, 10 }, &SetFailureDomains },
    { "services", services, kTargetServices, true, { services, 79 }, &SetServices },
    { "changes/h", 0, kTargetChangesPerHour, true, { 0, 14'400 }, &SetChanges },
    { "restarts/h", 0, kTargetRestartsPerHour, true, { 0, 1800 }, &SetRestarts },
    { "calls/s a daemon", 0, kTargetCallsPerSecond, false, { 0, 50 }, &SetCalls },
    { "orders/s a daemon", 0, kTargetOrdersPerSecond, false, { 0, 1.6 }, &SetOrders },
  };
  return plan;
}

namespace {

//! Measures the points of a plan in sequence. The base point is measured once and shared by all
//! sweeps.
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
    baseRates_ = Measure(plan_.basePoint_, "base");
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
    if (aValue == aSweep.baseValue_) {
      AddSamples(aSweep, aValue, baseRates_);
      return;
    }
    CapacityPoint point = plan_.basePoint_;
    aSweep.apply_(point, aValue);
    const std::string name = aSweep.variable_ + " = " + FormatNumber(aValue, 1);
    AddSamples(aSweep, aValue, Measure(point, name));
  }

  std::vector<FleetRates> Measure(const CapacityPoint& aPoint, const std::string& aName)
  {
    progress_(aName);
    TestbedSettings settings = settings_;
    settings.settleDuration_ =
      plan_.settleDuration_ + aPoint.shape_.daemons_ * plan_.settleDurationPerDaemon_;
    settings.routesPerService_ = aPoint.routesPerService_;
    settings.outputFolder_ += "/point-" + std::to_string(++pointNumber_);
    std::vector<FleetRates> rates;
    try {
      Testbed testbed(loop_, aPoint.shape_, settings);
      for (std::uint32_t repeat = 0; repeat < plan_.repeats_; ++repeat) {
        rates.push_back(MeasurePoint(loop_, testbed, aPoint, plan_.measurementWindow_));
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
  std::vector<FleetRates> baseRates_;
  std::vector<CapacitySample> samples_;
  std::size_t pointNumber_ = 0;
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
