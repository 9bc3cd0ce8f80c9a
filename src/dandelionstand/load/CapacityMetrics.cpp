#include "dandelionstand/load/CapacityMetrics.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

constexpr int kDigits = 4;

//! All points of one variable and metric; fitted to one row of the slope table.
struct SampleGroup
{
  std::string variable_;
  std::string metric_;
  std::vector<PlotPoint> points_;
};

std::vector<SampleGroup> GroupSamples(const std::vector<CapacitySample>& aSamples)
{
  std::vector<SampleGroup> groups;
  for (const CapacitySample& sample : aSamples) {
    const auto found =
      std::find_if(groups.begin(), groups.end(), [&sample](const SampleGroup& aGroup) {
        return aGroup.variable_ == sample.variable_ && aGroup.metric_ == sample.metric_;
      });
    const PlotPoint point{ sample.value_, sample.measurement_ };
    if (found == groups.end()) {
      groups.push_back({ sample.variable_, sample.metric_, { point } });
    } else {
      found->points_.push_back(point);
    }
  }
  return groups;
}

PlotSeries MakeScaledSeries(const SampleGroup& aGroup)
{
  PlotSeries series{ aGroup.variable_, aGroup.points_ };
  double largestX = 0;
  for (const PlotPoint& point : series.points_) {
    largestX = std::max(largestX, point.x_);
  }
  for (PlotPoint& point : series.points_) {
    point.x_ = largestX > 0 ? point.x_ / largestX : 0;
  }
  return series;
}

const SampleGroup* FindGroup(const std::vector<SampleGroup>& aGroups,
                             const std::string& aVariable,
                             const std::string& aMetric)
{
  const auto found = std::find_if(aGroups.begin(), aGroups.end(), [&](const SampleGroup& aGroup) {
    return aGroup.variable_ == aVariable && aGroup.metric_ == aMetric;
  });
  return found == aGroups.end() ? nullptr : &*found;
}

//! Whether the metric is 0 at every point, so that there is no slope to fit.
bool IsAllZero(const SampleGroup& aGroup)
{
  return std::all_of(aGroup.points_.begin(), aGroup.points_.end(), [](const PlotPoint& aPoint) {
    return aPoint.y_ == 0;
  });
}

std::vector<std::string> MetricNames(const std::vector<SampleGroup>& aGroups)
{
  std::vector<std::string> metrics;
  for (const SampleGroup& group : aGroups) {
    if (std::find(metrics.begin(), metrics.end(), group.metric_) == metrics.end()) {
      metrics.push_back(group.metric_);
    }
  }
  return metrics;
}

std::vector<std::string> MakeTargetRow(const CapacityPlan& aPlan,
                                       const std::vector<SampleGroup>& aGroups,
                                       const std::string& aMetric)
{
  const SampleGroup* first = FindGroup(aGroups, aPlan.sweeps_.front().variable_, aMetric);
  const double base =
    first == nullptr ? 0 : FitLine(first->points_).ValueAt(aPlan.sweeps_.front().baseValue_);
  std::vector<std::string> row = { aMetric, FormatNumber(base, kDigits) };
  double control = base;
  double calls = 0;
  for (const CapacitySweep& sweep : aPlan.sweeps_) {
    const SampleGroup* group = FindGroup(aGroups, sweep.variable_, aMetric);
    if (group == nullptr) {
      row.emplace_back("not measured");
      continue;
    }
    const LinearFit fit = FitLine(group->points_);
    const double added = fit.slope_ * (sweep.targetValue_ - sweep.baseValue_);
    (sweep.isControlLoad_ ? control : calls) += added;
    row.push_back(FormatNumber(added, kDigits) + " (x" +
                  FormatNumber(fit.ExtrapolationFactor(sweep.targetValue_), 1) + ")");
  }
  row.push_back(FormatNumber(control, kDigits));
  row.push_back(FormatNumber(control + calls, kDigits));
  return row;
}

Plot& FindOrAddPlot(std::vector<Plot>& aPlots, const std::string& aMetric)
{
  const auto found = std::find_if(aPlots.begin(), aPlots.end(), [&aMetric](const Plot& aPlot) {
    return aPlot.title_ == aMetric;
  });
  if (found != aPlots.end()) {
    return *found;
  }
  aPlots.push_back({ aMetric, { "share of the largest value" }, { aMetric }, {} });
  return aPlots.back();
}

} // namespace

void AddMetrics(const std::string& aVariable,
                double aValue,
                const FleetRates& aRates,
                std::vector<CapacitySample>& aSamples)
{
  const auto add = [&](const std::string& aMetric, double aMeasurement) {
    aSamples.push_back({ aVariable, aValue, aMetric, aMeasurement });
  };
  const auto addStatistics = [&](const std::string& aName, const char* aUnit, RateField aField) {
    add(aName + " mean " + aUnit, MeanOf(aRates, aField));
    add(aName + " max " + aUnit, MaxOf(aRates, aField));
    add(aName + " region head " + aUnit, MaxOfRegionHeads(aRates, aField));
  };
  addStatistics("daemon CPU", "[% of a core]", &DaemonRates::cpuPercent_);
  addStatistics("daemon memory", "[MB]", &DaemonRates::residentMb_);
  addStatistics("daemon sent", "[messages/s]", &DaemonRates::sentMessagesPerSecond_);
  addStatistics("daemon sent", "[B/s]", &DaemonRates::sentBytesPerSecond_);
  addStatistics("daemon received", "[B/s]", &DaemonRates::receivedBytesPerSecond_);
  add("log appends of a daemon [1/s]", MeanOf(aRates, &DaemonRates::appendsPerSecond_));
  add("log reads of a daemon [1/s]", MeanOf(aRates, &DaemonRates::readsPerSecond_));
  add("log reads of all [1/s]", SumOf(aRates, &DaemonRates::readsPerSecond_));
  add("log CPU [% of a core]", aRates.logCpuPercent_);
  add("log memory [MB]", aRates.logResidentMb_);
  add("control between regions [B/s]", SumOf(aRates, &DaemonRates::interRegionBytesPerSecond_));
  add("control between failure domains [B/s]",
      SumOf(aRates, &DaemonRates::interDomainBytesPerSecond_));
}

Table MakeSampleTable(const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "variable", "value", "metric", "measured" }, {} };
  for (const CapacitySample& sample : aSamples) {
    table.rows_.push_back({ sample.variable_,
                            FormatNumber(sample.value_, 0),
                            sample.metric_,
                            FormatNumber(sample.measurement_, kDigits) });
  }
  return table;
}

Table MakeSlopeTable(const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "metric", "variable", "slope", "std_error", "at_0", "from", "to", "points" }, {} };
  for (const SampleGroup& group : GroupSamples(aSamples)) {
    if (IsAllZero(group)) {
      continue;
    }
    const LinearFit fit = FitLine(group.points_);
    table.rows_.push_back({ group.metric_,
                            group.variable_,
                            FormatNumber(fit.slope_, kDigits + 1),
                            FormatNumber(fit.slopeError_, kDigits + 1),
                            FormatNumber(fit.intercept_, kDigits),
                            FormatNumber(fit.minX_, 0),
                            FormatNumber(fit.maxX_, 0),
                            std::to_string(group.points_.size()) });
  }
  std::stable_sort(table.rows_.begin(), table.rows_.end(), [](const auto& aLhs, const auto& aRhs) {
    return aLhs.front() < aRhs.front();
  });
  return table;
}

Table MakeTargetTable(const CapacityPlan& aPlan, const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "metric", "base" }, {} };
  for (const CapacitySweep& sweep : aPlan.sweeps_) {
    table.header_.push_back(sweep.variable_ + " to " + FormatNumber(sweep.targetValue_, 1));
  }
  table.header_.insert(table.header_.end(), { "control", "with calls" });
  const std::vector<SampleGroup> groups = GroupSamples(aSamples);
  for (const std::string& metric : MetricNames(groups)) {
    table.rows_.push_back(MakeTargetRow(aPlan, groups, metric));
  }
  return table;
}

std::vector<Plot> MakeCapacityPlots(const std::vector<CapacitySample>& aSamples)
{
  std::vector<Plot> plots;
  for (const SampleGroup& group : GroupSamples(aSamples)) {
    FindOrAddPlot(plots, group.metric_).series_.push_back(MakeScaledSeries(group));
  }
  return plots;
}

} // namespace dandelionstand::load
