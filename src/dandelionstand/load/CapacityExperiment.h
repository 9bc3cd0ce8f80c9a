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

//! Shape of a fleet and the load on it during one measurement.
struct CapacityPoint
{
  TopologyShape shape_;
  std::uint32_t routesPerService_ = 2;
  double changesPerHour_ = 0;
  double restartsPerHour_ = 0;
  double callsPerSecond_ = 0;  //!< Lookups sent through each daemon.
  double ordersPerSecond_ = 0; //!< Keyed orders sent through each daemon.
};

//! One variable and its values to measure; all other variables keep their value in the base point.
struct CapacitySweep
{
  std::string variable_;      //!< With its unit.
  double baseValue_ = 0;      //!< Value in the base point.
  double targetValue_ = 0;    //!< Value in the largest fleet that the design must support.
  bool isControlLoad_ = true; //!< Whether it adds control load rather than calls.
  std::vector<double> values_;
  void (*apply_)(CapacityPoint& aPoint, double aValue);
};

struct CapacityPlan
{
  CapacityPoint basePoint_;
  std::vector<CapacitySweep> sweeps_;
  common::Duration measurementWindow_ = std::chrono::seconds(3);
  //! Wait before the first measurement, so that joining is complete: a fixed part and an addition
  //! per daemon.
  common::Duration settleDuration_ = std::chrono::seconds(6);
  common::Duration settleDurationPerDaemon_ = std::chrono::milliseconds(200);
  std::uint32_t repeats_ = 2;
};

//! The sweeps of a full run, or of a short run that takes less than a minute.
CapacityPlan MakeCapacityPlan(const TopologyShape& aShape, bool aIsShort);

//! One measurement of one metric at one point.
struct CapacitySample
{
  std::string variable_;
  double value_ = 0;
  std::string metric_; //!< With its unit.
  double measurement_ = 0;
};

//! Measures every point of the plan. A point whose fleet fails is reported to aProgress and
//! skipped.
std::vector<CapacitySample> RunCapacity(common::EventLoop& aLoop,
                                        const CapacityPlan& aPlan,
                                        const TestbedSettings& aSettings,
                                        const ProgressSink& aProgress);

//! One row per sample.
Table MakeSampleTable(const std::vector<CapacitySample>& aSamples);

//! One row per variable and metric with the fitted slope, its standard error, the intercept and the
//! measured range. Metrics that are 0 at every point are left out.
Table MakeSlopeTable(const std::vector<CapacitySample>& aSamples);

//! One row per metric: its value in the base point, the extrapolated increase for each variable's
//! target value (with the extrapolation factor), and the sums without and with calls.
Table MakeTargetTable(const CapacityPlan& aPlan, const std::vector<CapacitySample>& aSamples);

//! One plot per metric, with one line per variable. The x values of a line are divided by its
//! largest value.
std::vector<Plot> MakeCapacityPlots(const std::vector<CapacitySample>& aSamples);

} // namespace dandelionstand::load

#endif // dandelionstand_load_CapacityExperiment_h
