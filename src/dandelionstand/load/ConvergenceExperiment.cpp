#include "dandelionstand/load/ConvergenceExperiment.h"

#include "dandelionstand/load/Fetch.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr int kDigits = 0;
constexpr int kRateDigits = 1;

std::string FormatMilliseconds(Duration aDuration)
{
  return FormatNumber(static_cast<double>(aDuration.count()) / kMicrosecondsPerMillisecond,
                      kDigits);
}

//! Runs the phases for one spreading mode and profile.
class ConvergenceRun
{
public:
  ConvergenceRun(common::EventLoop& aLoop,
                 const ConvergencePlan& aPlan,
                 const TopologyShape& aShape,
                 const TestbedSettings& aSettings,
                 Table& aTable)
    : loop_(aLoop)
    , plan_(aPlan)
    , testbed_(aLoop, aShape, aSettings)
    , table_(aTable)
  {
  }

  void Run()
  {
    idleRates_ = testbed_.MeasureRates(plan_.idleWindow_);
    AddRow("rest", {}, idleRates_, "");
    RunPublishes("publishes", false);
    if (plan_.hasChurn_) {
      RunPublishes("churn", true);
    }
    if (plan_.hasHerdRestart_) {
      RunHerdRestart();
    }
  }

private:
  void RunPublishes(const std::string& aPhase, bool aHasChurn)
  {
    const FleetSample before = testbed_.GetFleet().Sample();
    std::vector<PublishedVersion> versions;
    for (std::uint32_t count = 0; count < plan_.publishCount_; ++count) {
      if (aHasChurn) {
        RestartNextDaemon();
      }
      versions.push_back(testbed_.PublishNextRevision());
      RunFor(loop_, plan_.publishInterval_);
    }
    const ConvergenceTimes times = testbed_.CollectTimes(versions, plan_.activationTimeout_);
    const FleetRates rates = RatesBetween(before, testbed_.GetFleet().Sample());
    lastVersion_ = versions.back().version_;
    AddRow(aPhase, times, rates, CopiesPerRegion(times, rates));
  }

  void RestartNextDaemon()
  {
    const std::size_t count = testbed_.GetFleet().GetTopology().instances_.size();
    testbed_.RestartDaemon(restartCount_ % count);
    restartCount_ += 1;
  }

  void RunHerdRestart()
  {
    const FleetSample before = testbed_.GetFleet().Sample();
    const auto time = testbed_.RestartAllDaemons(lastVersion_, plan_.activationTimeout_);
    const FleetRates rates = RatesBetween(before, testbed_.GetFleet().Sample());
    ConvergenceTimes times;
    times.versionCount_ = 1;
    if (time) {
      times.delays_.Add(*time);
    } else {
      times.missingCount_ = 1;
    }
    AddRow("herd", times, rates, "");
  }

  //! How many copies of the records each other region received, computed from the inter-region
  //! bytes in excess of the idle rate.
  std::string CopiesPerRegion(const ConvergenceTimes& aTimes, const FleetRates& aRates) const
  {
    const double extraBytes =
      (aRates.proxiedRates_.betweenRegions_ - idleRates_.proxiedRates_.betweenRegions_) *
      aRates.intervalSeconds_;
    const double singleCopyBytes =
      static_cast<double>(aTimes.recordBytes_) * (testbed_.Shape().regions_ - 1);
    return singleCopyBytes > 0 ? FormatNumber(extraBytes / singleCopyBytes, kRateDigits) : "";
  }

  void AddRow(const std::string& aPhase,
              const ConvergenceTimes& aTimes,
              const FleetRates& aRates,
              const std::string& aCopies)
  {
    const auto number = [](double aNumber) { return FormatNumber(aNumber, kRateDigits); };
    const bool hasTimes = aTimes.versionCount_ > 0;
    const auto delay = [&](double aQuantile) {
      return hasTimes ? FormatMilliseconds(aTimes.delays_.Quantile(aQuantile)) : "";
    };
    table_.rows_.push_back({ testbed_.Shape().spreading_,
                             testbed_.Shape().profile_,
                             std::to_string(testbed_.Shape().daemons_),
                             aPhase,
                             std::to_string(aTimes.versionCount_),
                             delay(0.5),
                             delay(0.99),
                             delay(1),
                             std::to_string(aTimes.missingCount_),
                             aCopies,
                             number(aRates.proxiedRates_.betweenRegions_),
                             number(aRates.proxiedRates_.betweenDomains_),
                             number(aRates.proxiedRates_.insideDomains_),
                             number(MeanOf(aRates, &DaemonRates::sentBytesPerSecond_)),
                             number(MaxOf(aRates, &DaemonRates::sentBytesPerSecond_)),
                             number(SumOf(aRates, &DaemonRates::readsPerSecond_)),
                             number(SumOf(aRates, &DaemonRates::appendsPerSecond_)) });
  }

  common::EventLoop& loop_;
  const ConvergencePlan& plan_;
  Testbed testbed_;
  Table& table_;
  FleetRates idleRates_;
  common::Version lastVersion_;
  std::size_t restartCount_ = 0;
};

Table MakeTable()
{
  return { { "spreading",
             "profile",
             "daemons",
             "phase",
             "versions",
             "p50_ms",
             "p99_ms",
             "max_ms",
             "missing",
             "copies_per_border",
             "region_B/s",
             "domain_B/s",
             "inside_B/s",
             "sent_B/s_mean",
             "sent_B/s_max",
             "log_reads/s",
             "log_appends/s" },
           {} };
}

} // namespace

Table RunConvergence(common::EventLoop& aLoop,
                     const ConvergencePlan& aPlan,
                     const TestbedSettings& aSettings,
                     const ProgressSink& aProgress)
{
  Table table = MakeTable();
  TopologyShape shape = aPlan.shape_;
  for (const std::string& spreading : aPlan.spreadings_) {
    for (const std::string& profile : aPlan.profiles_) {
      aProgress("spreading " + spreading + ", profile " + profile);
      shape.spreading_ = spreading;
      shape.profile_ = profile;
      TestbedSettings settings = aSettings;
      settings.outputFolder_ += "/" + spreading + "-" + profile;
      ConvergenceRun(aLoop, aPlan, shape, settings, table).Run();
    }
  }
  return table;
}

} // namespace dandelionstand::load
