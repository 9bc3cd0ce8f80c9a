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
  const auto addMeanAndMax = [&](const std::string& aName, const char* aUnit, RateField aField) {
    add(aName + " mean " + aUnit, MeanOf(aRates, aField));
    add(aName + " max " + aUnit, MaxOf(aRates, aField));
  };
  addMeanAndMax("daemon CPU", "[% of a core]", &DaemonRates::cpuPercent_);
  addMeanAndMax("daemon memory", "[MB]", &DaemonRates::residentMb_);
  addMeanAndMax("daemon sent", "[messages/s]", &DaemonRates::messagesPerSecond_);
  addMeanAndMax("daemon sent", "[B/s]", &DaemonRates::sentBytesPerSecond_);
  addMeanAndMax("daemon received", "[B/s]", &DaemonRates::receivedBytesPerSecond_);
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

std::vector<Plot> MakeCapacityPlots(const std::vector<CapacitySample>& aSamples)
{
  std::vector<Plot> plots;
  for (const Group& group : GroupSamples(aSamples)) {
    PlotOf(plots, group.metric_).series_.push_back(MakeSeries(group));
  }
  return plots;
}

} // namespace dandelionstand::load
