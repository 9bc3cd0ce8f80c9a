#ifndef dandelionstand_load_CapacityExperiment_h
#define dandelionstand_load_CapacityExperiment_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/ConvergenceExperiment.h"
#include "dandelionstand/load/LinearFit.h"
#include "dandelionstand/load/Testbed.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! What a fleet goes through while it is measured.
struct CapacityPoint
{
  TopologyShape shape_;
  std::uint32_t routesPerService_ = 2;
  double changesPerHour_ = 0;
  double restartsPerHour_ = 0;
  double callsPerSecond_ = 0;  //!< Lookups that enter at each daemon.
  double ordersPerSecond_ = 0; //!< Keyed orders that enter at each daemon.
};

//! One thing that is varied, with the other values as they stand in the base point.
struct CapacitySweep
{
  std::string variable_;  //!< With its unit.
  double base_ = 0;       //!< Its value in the base point.
  double target_ = 0;     //!< Its value in the fleet that the design has to carry.
  bool isControl_ = true; //!< Counts as control, not as calls.
  std::vector<double> values_;
  void (*apply_)(CapacityPoint& aPoint, double aValue);
};

struct CapacityPlan
{
  CapacityPoint base_;
  std::vector<CapacitySweep> sweeps_;
  common::Duration measurementWindow_ = std::chrono::seconds(3);
  //! Before the first measurement, so that joining has ended: at least, and for each daemon.
  common::Duration settleDuration_ = std::chrono::seconds(6);
  common::Duration settlePerDaemon_ = std::chrono::milliseconds(200);
  std::uint32_t repeats_ = 2;
};

//! The sweeps of a full run, or of one that takes under a minute.
CapacityPlan MakeCapacityPlan(const TopologyShape& aShape, bool aIsShort);

//! One measured number of one point.
struct CapacitySample
{
  std::string variable_;
  double value_ = 0;
  std::string metric_; //!< With its unit.
  double measured_ = 0;
};

//! Measures every point of the plan; a point that fails is reported and left out.
std::vector<CapacitySample> RunCapacity(common::EventLoop& aLoop,
                                        const CapacityPlan& aPlan,
                                        const TestbedSettings& aSettings,
                                        const ProgressSink& aProgress);

//! Every sample as a row.
Table MakeSampleTable(const std::vector<CapacitySample>& aSamples);

//! One row for each variable and metric that is not 0 everywhere: slope, its standard error,
//! intercept and measured range.
Table MakeSlopeTable(const std::vector<CapacitySample>& aSamples);

//! One row for each metric: its value in the base point, what each variable adds up to its target
//! (with the factor beyond the measured range), and the sums for control and with calls.
Table MakeTargetTable(const CapacityPlan& aPlan, const std::vector<CapacitySample>& aSamples);

//! One plot for each metric, with a line for each variable scaled to its largest value.
std::vector<Plot> MakeCapacityPlots(const std::vector<CapacitySample>& aSamples);

} // namespace dandelionstand::load

#endif // dandelionstand_load_CapacityExperiment_h
