#include "dandelionstand/load/Testbed.h"

#include "dandelionstand/load/Fetch.h"

#include <stdexcept>
#include <utility>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr Duration kStartLimit = std::chrono::seconds(30);
constexpr Duration kStopLimit = std::chrono::seconds(10);
constexpr std::uint64_t kAppendLimit = 400;

FleetSettings MakeFleetSettings(const TestbedSettings& aSettings)
{
  FleetSettings settings;
  settings.programFolder_ = aSettings.programFolder_;
  settings.outputFolder_ = aSettings.outputFolder_;
  settings.hasTargets_ = aSettings.hasTargets_;
  settings.appendLimit_ = kAppendLimit;
  return settings;
}

} // namespace

Bench::Bench(common::EventLoop& aLoop, const TopologyShape& aShape, TestbedSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , config_{ ServicesOf(aShape), settings_.routesPerService_, 0 }
  , fleet_(aLoop, MakeTopology(aShape), MakeFleetSettings(settings_))
{
  fleet_.StartAll();
  if (!fleet_.WaitForAnswers(kStartLimit)) {
    throw std::runtime_error("not every daemon came up; see " + settings_.outputFolder_);
  }
  publisher_.emplace(loop_, fleet_.GetTopology().log_);
  if (!fleet_.WaitForVersion(PublishNext().version_, 0, kStartLimit)) {
    throw std::runtime_error("the first configuration is not in force everywhere; see " +
                             settings_.outputFolder_);
  }
  RunFor(loop_, settings_.settleDuration_);
}

Bench::~Bench()
{
  fleet_.StopAll(kStopLimit);
}

FleetRates Bench::Measure(Duration aWindow)
{
  const FleetSample before = fleet_.Sample();
  RunFor(loop_, aWindow);
  return RatesBetween(before, fleet_.Sample());
}

Published Bench::PublishNext()
{
  config_.revision_ += 1;
  return publisher_->Publish(MakeConfig(config_));
}

ConvergenceTimes Bench::Collect(const std::vector<Published>& aVersions, Duration aLimit)
{
  ConvergenceTimes times;
  times.versions_ = aVersions.size();
  if (aVersions.empty()) {
    return times;
  }
  fleet_.WaitForVersion(aVersions.back().version_, aVersions.back().sentAtMs_, aLimit);
  for (const Published& published : aVersions) {
    times.recordBytes_ += published.recordBytes_;
    for (const auto& time : fleet_.TimesInForce(published.version_, published.sentAtMs_)) {
      if (time) {
        times.delays_.Add(std::chrono::milliseconds(*time - published.sentAtMs_));
      } else {
        times.missing_ += 1;
      }
    }
  }
  return times;
}

RunResults Bench::RunLoad(LoadSettings aSettings, std::size_t aEntries)
{
  const auto& instances = fleet_.GetTopology().instances_;
  for (std::size_t index = 0; index < aEntries && index < instances.size(); ++index) {
    aSettings.entries_.push_back(instances[index].callers_);
  }
  aSettings.runName_ = "run-" + std::to_string(common::NewIncarnationNumber());
  LoadRun run(loop_, std::move(aSettings));
  RunResults results;
  run.onDone_.connect([&](const RunResults& aResults) {
    results = aResults;
    loop_.Stop();
  });
  run.Start();
  loop_.Run();
  return results;
}

void Bench::RestartDaemon(std::size_t aIndex)
{
  fleet_.KillDaemon(aIndex);
  fleet_.StartDaemon(aIndex);
}

std::optional<Duration> Bench::RestartAll(common::Version aVersion, Duration aLimit)
{
  const std::size_t count = fleet_.GetTopology().instances_.size();
  for (std::size_t index = 0; index < count; ++index) {
    fleet_.KillDaemon(index);
  }
  const std::uint64_t restartedAtMs = common::WallClockMs();
  const common::TimePoint start = common::Now();
  for (std::size_t index = 0; index < count; ++index) {
    fleet_.StartDaemon(index);
  }
  if (!fleet_.WaitForVersion(aVersion, restartedAtMs, aLimit)) {
    return std::nullopt;
  }
  return common::Now() - start;
}

} // namespace dandelionstand::load
