#include "dandelionstand/load/CapacityMetrics.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

constexpr int kDigits = 4;

//! A line of the slope table before it is fitted.
struct Group
{
  std::string variable_;
  std::string metric_;
  std::vector<PlotPoint> points_;
};

std::vector<Group> GroupSamples(const std::vector<CapacitySample>& aSamples)
{
  std::vector<Group> groups;
  for (const CapacitySample& sample : aSamples) {
    const auto found = std::find_if(groups.begin(), groups.end(), [&sample](const Group& aGroup) {
      return aGroup.variable_ == sample.variable_ && aGroup.metric_ == sample.metric_;
    });
    const PlotPoint point{ sample.value_, sample.measured_ };
    if (found == groups.end()) {
      groups.push_back({ sample.variable_, sample.metric_, { point } });
    } else {
      found->points_.push_back(point);
    }
  }
  return groups;
}

PlotSeries MakeSeries(const Group& aGroup)
{
  PlotSeries series{ aGroup.variable_, aGroup.points_ };
  double most = 0;
  for (const PlotPoint& point : series.points_) {
    most = std::max(most, point.x_);
  }
  for (PlotPoint& point : series.points_) {
    point.x_ = most > 0 ? point.x_ / most : 0;
  }
  return series;
}

const Group* FindGroup(const std::vector<Group>& aGroups,
                       const std::string& aVariable,
                       const std::string& aMetric)
{
  const auto found = std::find_if(aGroups.begin(), aGroups.end(), [&](const Group& aGroup) {
    return aGroup.variable_ == aVariable && aGroup.metric_ == aMetric;
  });
  return found == aGroups.end() ? nullptr : &*found;
}

//! Whether the metric is 0 wherever it was measured, so that there is nothing to fit.
bool IsZero(const Group& aGroup)
{
  return std::all_of(aGroup.points_.begin(), aGroup.points_.end(), [](const PlotPoint& aPoint) {
    return aPoint.y_ == 0;
  });
}

std::vector<std::string> MetricsOf(const std::vector<Group>& aGroups)
{
  std::vector<std::string> metrics;
  for (const Group& group : aGroups) {
    if (std::find(metrics.begin(), metrics.end(), group.metric_) == metrics.end()) {
      metrics.push_back(group.metric_);
    }
  }
  return metrics;
}

//! One row of the table for the target size.
std::vector<std::string> MakeTargetRow(const CapacityPlan& aPlan,
                                       const std::vector<Group>& aGroups,
                                       const std::string& aMetric)
{
  const Group* first = FindGroup(aGroups, aPlan.sweeps_.front().variable_, aMetric);
  const double base =
    first == nullptr ? 0 : FitLine(first->points_).At(aPlan.sweeps_.front().base_);
  std::vector<std::string> row = { aMetric, FormatNumber(base, kDigits) };
  double control = base;
  double calls = 0;
  for (const CapacitySweep& sweep : aPlan.sweeps_) {
    const Group* group = FindGroup(aGroups, sweep.variable_, aMetric);
    if (group == nullptr) {
      row.emplace_back("not measured");
      continue;
    }
    const LinearFit fit = FitLine(group->points_);
    const double added = fit.slope_ * (sweep.target_ - sweep.base_);
    (sweep.isControl_ ? control : calls) += added;
    row.push_back(FormatNumber(added, kDigits) + " (x" +
                  FormatNumber(fit.ExtrapolationTo(sweep.target_), 1) + ")");
  }
  row.push_back(FormatNumber(control, kDigits));
  row.push_back(FormatNumber(control + calls, kDigits));
  return row;
}

Plot& PlotOf(std::vector<Plot>& aPlots, const std::string& aMetric)
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
  const auto add = [&](const std::string& aMetric, double aMeasured) {
    aSamples.push_back({ aVariable, aValue, aMetric, aMeasured });
  };
  const auto addAll = [&](const std::string& aName, const char* aUnit, RateField aField) {
    add(aName + " mean " + aUnit, MeanOf(aRates, aField));
    add(aName + " max " + aUnit, MaxOf(aRates, aField));
    add(aName + " region head " + aUnit, MaxOfHeads(aRates, aField));
  };
  addAll("daemon CPU", "[% of a core]", &DaemonRates::cpuPercent_);
  addAll("daemon memory", "[MB]", &DaemonRates::residentMb_);
  addAll("daemon sent", "[messages/s]", &DaemonRates::messagesPerSecond_);
  addAll("daemon sent", "[B/s]", &DaemonRates::sentBytesPerSecond_);
  addAll("daemon received", "[B/s]", &DaemonRates::receivedBytesPerSecond_);
  add("log appends [1/s]", SumOf(aRates, &DaemonRates::appendsPerSecond_));
  add("log reads [1/s]", SumOf(aRates, &DaemonRates::readsPerSecond_));
  add("log CPU [% of a core]", aRates.logCpuPercent_);
  add("log memory [MB]", aRates.logResidentMb_);
  add("between regions [B/s]", aRates.borders_.betweenRegions_);
  add("between failure domains [B/s]", aRates.borders_.betweenDomains_);
}

Table MakeSampleTable(const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "variable", "value", "metric", "measured" }, {} };
  for (const CapacitySample& sample : aSamples) {
    table.rows_.push_back({ sample.variable_,
                            FormatNumber(sample.value_, 0),
                            sample.metric_,
                            FormatNumber(sample.measured_, kDigits) });
  }
  return table;
}

Table MakeSlopeTable(const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "metric", "variable", "slope", "std_error", "at_0", "from", "to", "points" }, {} };
  for (const Group& group : GroupSamples(aSamples)) {
    if (IsZero(group)) {
      continue;
    }
    const LinearFit fit = FitLine(group.points_);
    table.rows_.push_back({ group.metric_,
                            group.variable_,
                            FormatNumber(fit.slope_, kDigits + 1),
                            FormatNumber(fit.slopeError_, kDigits + 1),
                            FormatNumber(fit.intercept_, kDigits),
                            FormatNumber(fit.leastX_, 0),
                            FormatNumber(fit.mostX_, 0),
                            std::to_string(group.points_.size()) });
  }
  std::stable_sort(
    table.rows_.begin(), table.rows_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.front() < aRight.front();
    });
  return table;
}

Table MakeTargetTable(const CapacityPlan& aPlan, const std::vector<CapacitySample>& aSamples)
{
  Table table{ { "metric", "base" }, {} };
  for (const CapacitySweep& sweep : aPlan.sweeps_) {
    table.header_.push_back(sweep.variable_ + " to " + FormatNumber(sweep.target_, 1));
  }
  table.header_.insert(table.header_.end(), { "control", "with calls" });
  const std::vector<Group> groups = GroupSamples(aSamples);
  for (const std::string& metric : MetricsOf(groups)) {
    table.rows_.push_back(MakeTargetRow(aPlan, groups, metric));
  }
  return table;
}

std::vector<Plot> MakeCapacityPlots(const std::vector<CapacitySample>& aSamples)
{
  std::vector<Plot> plots;
  for (const Group& group : GroupSamples(aSamples)) {
    PlotOf(plots, group.metric_).series_.push_back(MakeSeries(group));
  }
  return plots;
}

} // namespace dandelionstand::load
