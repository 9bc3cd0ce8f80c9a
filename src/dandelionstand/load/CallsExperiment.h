#ifndef dandelionstand_load_CallsExperiment_h
#define dandelionstand_load_CallsExperiment_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/ConvergenceExperiment.h"
#include "dandelionstand/load/Testbed.h"

#include <vector>

namespace dandelionstand::load {

//! Call rates to measure through one entry daemon. For comparison, every other lookup is sent
//! directly to a target; orders are keyed and all go through the daemon.
struct CallsPlan
{
  TopologyShape shape_;
  std::vector<double> callsPerSecond_ = { 328, 1000, 3000, 10'000 };
  std::vector<double> ordersPerSecond_ = { 20 };
  common::Duration stepDuration_ = std::chrono::seconds(4);
  std::uint32_t repeats_ = 3;
  std::uint64_t seed_ = 1;
};

//! Result of one rate step.
struct CallsStepResult
{
  double rate_ = 0; //!< Calls per second, through the mesh and direct together.
  config::TrafficClass trafficClass_ = config::TrafficClass::kLookup;
  RunResults results_;
  double callerCpuPerCallUs_ = 0; //!< CPU time of the entry daemon per call through the mesh.
  double targetCpuPerCallUs_ = 0; //!< CPU time of the other daemons per call through the mesh.
};

//! Starts a fleet and runs each rate against it. The service of the entry daemon's target is not
//! called, so that the CPU time of that daemon is spent on the caller's side only.
std::vector<CallsStepResult> RunCalls(common::EventLoop& aLoop,
                                      const CallsPlan& aPlan,
                                      const TestbedSettings& aSettings,
                                      const ProgressSink& aProgress);

//! One row per step: latency through the mesh and direct, the difference, and CPU time per call.
Table MakeCallsTable(const std::vector<CallsStepResult>& aSteps);

//! Latency added by the mesh at the 50th and 99th percentile, against the rate.
Plot MakeAddedLatencyPlot(const std::vector<CallsStepResult>& aSteps);

} // namespace dandelionstand::load

#endif // dandelionstand_load_CallsExperiment_h
