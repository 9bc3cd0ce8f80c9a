#include "dandelionstand/load/Report.h"

#include "dandelionstand/load/TextFile.h"

#include <algorithm>
#include <array>
#include <filesystem>

namespace dandelionstand::load {

namespace {

using common::Duration;

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr std::array kQuantiles = { 0.5, 0.99, 0.999 };
constexpr double kPlottedQuantile = 0.99;
constexpr std::size_t kMaxListedOrders = 10;

std::string FormatMilliseconds(Duration aDuration)
{
  return FormatNumber(static_cast<double>(aDuration.count()) / kMicrosecondsPerMillisecond, 3);
}

std::string FormatRate(const RunResults& aResults, std::size_t aStep)
{
  return FormatNumber(aResults.steps_.at(aStep).callsPerSecond_, 0);
}

std::vector<std::string> MakeLatencyRow(const RunResults& aResults,
                                        const TallyKey& aKey,
                                        const ClassTally& aTally)
{
  std::vector<std::string> row = { ToString(aKey.callPath_),
                                   FormatRate(aResults, aKey.step_),
                                   config::ToText(aKey.trafficClass_),
                                   std::to_string(aTally.calls_) };
  for (const Verdict verdict : kVerdicts) {
    row.push_back(std::to_string(aTally.CountOf(verdict)));
  }
  row.push_back(std::to_string(aTally.attempts_));
  for (const double quantile : kQuantiles) {
    row.push_back(FormatMilliseconds(aTally.latency_.Quantile(quantile)));
  }
  row.push_back(FormatMilliseconds(aTally.latency_.Max()));
  return row;
}

std::string SeriesName(const TallyKey& aKey)
{
  return ToString(aKey.callPath_) + " " + config::ToText(aKey.trafficClass_);
}

std::string ListOrders(const std::string& aTitle, const std::vector<std::string>& aOrders)
{
  std::string line = aTitle + ": " + std::to_string(aOrders.size());
  for (std::size_t index = 0; index < aOrders.size() && index < kMaxListedOrders; ++index) {
    line += (index == 0 ? " (" : " ") + aOrders[index];
  }
  return line + (aOrders.empty() ? "\n" : ")\n");
}

std::string MakeOrderText(const OrderAudit& aOrders)
{
  const OrderFaults faults = aOrders.FindFaults();
  std::string text = "orders sent: " + std::to_string(aOrders.OrderCount()) + "\n";
  text += "runs counted at the targets: " + std::to_string(aOrders.RunCount()) + "\n";
  if (!aOrders.IsComplete()) {
    text += "run counts are incomplete: a target could not be asked\n";
  }
  text += ListOrders("orders that ran twice", faults.ranTwice_);
  text += ListOrders("orders refused as not run that ran", faults.ranAfterNotRunRefusal_);
  text += ListOrders("orders answered without a run", faults.answeredWithoutRun_);
  return text;
}

PlotSeries MakeTailSeries(const std::string& aName, const common::LatencyHistogram& aLatency)
{
  PlotSeries series{ aName, {} };
  std::uint64_t cumulativeCount = 0;
  for (const common::LatencyBin& bin : aLatency.Bins()) {
    cumulativeCount += bin.count_;
    // The added 1 keeps the last share above 0, because the axis is logarithmic.
    const double countAbove = static_cast<double>(aLatency.Count() - cumulativeCount + 1);
    series.points_.push_back(
      { static_cast<double>(bin.upper_.count()) / kMicrosecondsPerMillisecond,
        countAbove / static_cast<double>(aLatency.Count()) });
  }
  return series;
}

PlotSeries& FindOrAddSeries(Plot& aPlot, const std::string& aName)
{
  for (PlotSeries& series : aPlot.series_) {
    if (series.name_ == aName) {
      return series;
    }
  }
  aPlot.series_.push_back({ aName, {} });
  return aPlot.series_.back();
}

//! Latencies of one path and class over all steps.
struct NamedLatency
{
  std::string name_;
  common::LatencyHistogram latency_;
};

std::vector<NamedLatency> MergeSteps(const Tally& aTally)
{
  std::vector<NamedLatency> merged;
  for (const auto& [key, tally] : aTally.Classes()) {
    const std::string name = SeriesName(key);
    const auto found =
      std::find_if(merged.begin(), merged.end(), [&name](const NamedLatency& aItem) {
        return aItem.name_ == name;
      });
    if (found == merged.end()) {
      merged.push_back({ name, tally.latency_ });
    } else {
      found->latency_.Merge(tally.latency_);
    }
  }
  return merged;
}

} // namespace

bool HasBrokenPromise(const RunResults& aResults)
{
  return aResults.tally_.BrokenPromiseCount() > 0 || !aResults.orders_.FindFaults().IsEmpty();
}

Table MakeLatencyTable(const RunResults& aResults)
{
  Table table{ { "via", "calls/s", "class", "calls" }, {} };
  for (const Verdict verdict : kVerdicts) {
    table.header_.push_back(ToString(verdict));
  }
  table.header_.insert(table.header_.end(),
                       { "attempts", "p50_ms", "p99_ms", "p99.9_ms", "max_ms" });
  for (const auto& [key, tally] : aResults.tally_.Classes()) {
    table.rows_.push_back(MakeLatencyRow(aResults, key, tally));
  }
  return table;
}

Table MakeAddedLatencyTable(const RunResults& aResults)
{
  Table table{ { "calls/s", "class", "added_p50_ms", "added_p99_ms", "added_p99.9_ms" }, {} };
  const auto& classes = aResults.tally_.Classes();
  for (const auto& [key, tally] : classes) {
    const auto direct = classes.find({ CallPath::kDirect, key.step_, key.trafficClass_ });
    if (key.callPath_ != CallPath::kMesh || direct == classes.end()) {
      continue;
    }
    std::vector<std::string> row = { FormatRate(aResults, key.step_),
                                     config::ToText(key.trafficClass_) };
    for (const double quantile : kQuantiles) {
      row.push_back(FormatMilliseconds(tally.latency_.Quantile(quantile) -
                                       direct->second.latency_.Quantile(quantile)));
    }
    table.rows_.push_back(row);
  }
  return table;
}

Table MakeRefusalTable(const RunResults& aResults)
{
  Table table{ { "run", "reason", "refusals" }, {} };
  for (const auto& [key, count] : aResults.tally_.Refusals()) {
    table.rows_.push_back({ ToString(key.runState_), key.reason_, std::to_string(count) });
  }
  return table;
}

std::string MakeTextReport(const RunResults& aResults)
{
  std::string text = "seed: " + std::to_string(aResults.seed_) + "\n\n";
  text += ToText(MakeLatencyTable(aResults)) + "\n";
  const Table added = MakeAddedLatencyTable(aResults);
  if (!added.rows_.empty()) {
    text += "Latency that the mesh adds to a direct call:\n" + ToText(added) + "\n";
  }
  const Table refusals = MakeRefusalTable(aResults);
  if (!refusals.rows_.empty()) {
    text += ToText(refusals) + "\n";
  }
  text += MakeOrderText(aResults.orders_) + "\n";
  text += HasBrokenPromise(aResults) ? "A promise was broken.\n" : "No promise was broken.\n";
  return text;
}

Plot MakeLatencyPlot(const RunResults& aResults)
{
  Plot plot{ "Latency from the scheduled time",
             { "latency [ms]", AxisScale::kLogarithmic },
             { "share of calls above", AxisScale::kLogarithmic },
             {} };
  for (const NamedLatency& item : MergeSteps(aResults.tally_)) {
    plot.series_.push_back(MakeTailSeries(item.name_, item.latency_));
  }
  return plot;
}

Plot MakeRatePlot(const RunResults& aResults)
{
  Plot plot{ "99th percentile by rate",
             { "rate of all classes [calls/s]", AxisScale::kLinear },
             { "latency [ms]", AxisScale::kLogarithmic },
             {} };
  for (const auto& [key, tally] : aResults.tally_.Classes()) {
    const Duration latency = tally.latency_.Quantile(kPlottedQuantile);
    FindOrAddSeries(plot, SeriesName(key))
      .points_.push_back({ aResults.steps_.at(key.step_).callsPerSecond_,
                           static_cast<double>(latency.count()) / kMicrosecondsPerMillisecond });
  }
  return plot;
}

void WriteReport(const RunResults& aResults, const std::string& aFolder)
{
  std::filesystem::create_directories(aFolder);
  WriteTextFile(aFolder + "/report.txt", MakeTextReport(aResults));
  WriteTextFile(aFolder + "/latency.csv", ToCsv(MakeLatencyTable(aResults)));
  WriteTextFile(aFolder + "/added.csv", ToCsv(MakeAddedLatencyTable(aResults)));
  WriteTextFile(aFolder + "/refusals.csv", ToCsv(MakeRefusalTable(aResults)));
  WriteTextFile(aFolder + "/latency.svg", ToSvg(MakeLatencyPlot(aResults)));
  WriteTextFile(aFolder + "/rates.svg", ToSvg(MakeRatePlot(aResults)));
}

} // namespace dandelionstand::load
