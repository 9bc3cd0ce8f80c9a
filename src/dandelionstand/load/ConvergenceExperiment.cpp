#include "dandelionstand/load/ConvergenceExperiment.h"

#include "dandelionstand/load/Fetch.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr int kDigits = 0;
constexpr int kRateDigits = 1;

std::string Milliseconds(Duration aDuration)
{
  return FormatNumber(static_cast<double>(aDuration.count()) / kMicrosecondsPerMillisecond,
                      kDigits);
}

//! Runs the phases of one spreading and profile.
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
    , bench_(aLoop, aShape, aSettings)
    , table_(aTable)
  {
  }

  void Run()
  {
    rest_ = bench_.Measure(plan_.idleWindow_);
    AddRow("rest", {}, rest_, "");
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
    const FleetSample before = bench_.GetFleet().Sample();
    std::vector<Published> versions;
    for (std::uint32_t count = 0; count < plan_.publishCount_; ++count) {
      if (aHasChurn) {
        RestartNext();
      }
      versions.push_back(bench_.PublishNext());
      RunFor(loop_, plan_.publishInterval_);
    }
    const ConvergenceTimes times = bench_.Collect(versions, plan_.inForceLimit_);
    const FleetRates rates = RatesBetween(before, bench_.GetFleet().Sample());
    last_ = versions.back().version_;
    AddRow(aPhase, times, rates, CopiesPerVersion(times, rates));
  }

  void RestartNext()
  {
    const std::size_t count = bench_.GetFleet().GetTopology().instances_.size();
    bench_.RestartDaemon(restarted_ % count);
    restarted_ += 1;
  }

  void RunHerdRestart()
  {
    const FleetSample before = bench_.GetFleet().Sample();
    const auto time = bench_.RestartAll(last_, plan_.inForceLimit_);
    const FleetRates rates = RatesBetween(before, bench_.GetFleet().Sample());
    ConvergenceTimes times;
    times.versions_ = 1;
    if (time) {
      times.delays_.Add(*time);
    } else {
      times.missing_ = 1;
    }
    AddRow("herd", times, rates, "");
  }

  //! Bytes over region borders beyond those at rest, as copies of the records in each other region.
  std::string CopiesPerVersion(const ConvergenceTimes& aTimes, const FleetRates& aRates) const
  {
    const double extra =
      (aRates.borders_.betweenRegions_ - rest_.borders_.betweenRegions_) * aRates.seconds_;
    const double oneCopy = static_cast<double>(aTimes.recordBytes_) * (bench_.Shape().regions_ - 1);
    return oneCopy > 0 ? FormatNumber(extra / oneCopy, kRateDigits) : "";
  }

  void AddRow(const std::string& aPhase,
              const ConvergenceTimes& aTimes,
              const FleetRates& aRates,
              const std::string& aCopies)
  {
    const auto number = [](double aNumber) { return FormatNumber(aNumber, kRateDigits); };
    const bool hasTimes = aTimes.versions_ > 0;
    const auto delay = [&](double aQuantile) {
      return hasTimes ? Milliseconds(aTimes.delays_.Quantile(aQuantile)) : "";
    };
    table_.rows_.push_back({ bench_.Shape().spreading_,
                             bench_.Shape().profile_,
                             std::to_string(bench_.Shape().daemons_),
                             aPhase,
                             std::to_string(aTimes.versions_),
                             delay(0.5),
                             delay(0.99),
                             delay(1),
                             std::to_string(aTimes.missing_),
                             aCopies,
                             number(aRates.borders_.betweenRegions_),
                             number(aRates.borders_.betweenDomains_),
                             number(aRates.borders_.insideDomains_),
                             number(MeanOf(aRates, &DaemonRates::sentBytesPerSecond_)),
                             number(MaxOf(aRates, &DaemonRates::sentBytesPerSecond_)),
                             number(SumOf(aRates, &DaemonRates::readsPerSecond_)),
                             number(SumOf(aRates, &DaemonRates::appendsPerSecond_)) });
  }

  common::EventLoop& loop_;
  const ConvergencePlan& plan_;
  Bench bench_;
  Table& table_;
  FleetRates rest_;
  common::Version last_;
  std::size_t restarted_ = 0;
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
