#include "dandelionstand/load/Testbed.h"

#include "dandelionstand/load/Fetch.h"

#include <stdexcept>
#include <utility>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr Duration kStartTimeout = std::chrono::seconds(30);
constexpr Duration kStopTimeout = std::chrono::seconds(10);
constexpr std::uint64_t kMaxAppendsPerSecond = 400;

FleetSettings MakeFleetSettings(const TestbedSettings& aSettings)
{
  FleetSettings settings;
  settings.programFolder_ = aSettings.programFolder_;
  settings.outputFolder_ = aSettings.outputFolder_;
  settings.hasTargets_ = aSettings.hasTargets_;
  settings.maxAppendsPerSecond_ = kMaxAppendsPerSecond;
  return settings;
}

} // namespace

Testbed::Testbed(common::EventLoop& aLoop, const TopologyShape& aShape, TestbedSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , config_{ ServicesOf(aShape), settings_.routesPerService_, 0 }
  , fleet_(aLoop, MakeTopology(aShape), MakeFleetSettings(settings_))
{
  fleet_.StartAll();
  if (!fleet_.WaitForDaemons(kStartTimeout)) {
    throw std::runtime_error("not every daemon answered on its admin address; see " +
                             settings_.outputFolder_);
  }
  publisher_.emplace(loop_, fleet_.GetTopology().logAddress_);
  if (!fleet_.WaitForVersion(PublishNextRevision().version_, 0, kStartTimeout)) {
    throw std::runtime_error("the first configuration is not active on every daemon; see " +
                             settings_.outputFolder_);
  }
  RunFor(loop_, settings_.settleDuration_);
}

Testbed::~Testbed()
{
  fleet_.StopAll(kStopTimeout);
}

FleetRates Testbed::MeasureRates(Duration aWindow)
{
  const FleetSample before = fleet_.Sample();
  RunFor(loop_, aWindow);
  return RatesBetween(before, fleet_.Sample());
}

PublishedVersion Testbed::PublishNextRevision()
{
  config_.revision_ += 1;
  return publisher_->Publish(MakeConfig(config_));
}

ConvergenceTimes Testbed::CollectTimes(const std::vector<PublishedVersion>& aVersions,
                                       Duration aTimeout)
{
  ConvergenceTimes times;
  times.versionCount_ = aVersions.size();
  if (aVersions.empty()) {
    return times;
  }
  fleet_.WaitForVersion(aVersions.back().version_, aVersions.back().sentAtMs_, aTimeout);
  for (const PublishedVersion& published : aVersions) {
    times.recordBytes_ += published.recordBytes_;
    for (const auto& activatedAtMs :
         fleet_.ActivationTimes(published.version_, published.sentAtMs_)) {
      if (activatedAtMs) {
        times.delays_.Add(std::chrono::milliseconds(*activatedAtMs - published.sentAtMs_));
      } else {
        times.missingCount_ += 1;
      }
    }
  }
  return times;
}

RunResults Testbed::RunLoad(LoadSettings aSettings, std::size_t aEntryPointCount)
{
  const auto& instances = fleet_.GetTopology().instances_;
  for (std::size_t index = 0; index < aEntryPointCount && index < instances.size(); ++index) {
    aSettings.entryPoints_.push_back(instances[index].callerAddress_);
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

void Testbed::RestartDaemon(std::size_t aIndex)
{
  fleet_.KillDaemon(aIndex);
  fleet_.StartDaemon(aIndex);
}

std::optional<Duration> Testbed::RestartAllDaemons(common::Version aVersion, Duration aTimeout)
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
  if (!fleet_.WaitForVersion(aVersion, restartedAtMs, aTimeout)) {
    return std::nullopt;
  }
  return common::Now() - start;
}

} // namespace dandelionstand::load
