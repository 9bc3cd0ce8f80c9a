#ifndef dandelionstand_load_CallsExperiment_h
#define dandelionstand_load_CallsExperiment_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/ConvergenceExperiment.h"
#include "dandelionstand/load/Testbed.h"

#include <vector>

namespace dandelionstand::load {

//! Rates of calls through one daemon, half of them sent directly to the targets.
struct CallsPlan
{
  TopologyShape shape_;
  std::vector<double> callsPerSecond_ = { 328, 1000, 3000, 10'000 };
  std::vector<double> ordersPerSecond_ = { 20 };
  common::Duration stepDuration_ = std::chrono::seconds(4);
  std::uint32_t repeats_ = 3;
  std::uint64_t seed_ = 1;
};

//! What one rate gave.
struct CallsStep
{
  double rate_ = 0; //!< Of calls on both ways together.
  config::TrafficClass trafficClass_ = config::TrafficClass::kLookup;
  RunResults results_;
  double callerCpuUs_ = 0; //!< Processor time of the entry daemon for each call that it took.
  double targetCpuUs_ = 0; //!< Processor time of the other daemons for each of these calls.
};

//! Runs each rate against a fresh fleet. The entry daemon's own service is not called, so that it
//! is on the caller's side alone.
std::vector<CallsStep> RunCalls(common::EventLoop& aLoop,
                                const CallsPlan& aPlan,
                                const TestbedSettings& aSettings,
                                const ProgressSink& aProgress);

//! One row for each step: latency on both ways, what the mesh adds, and processor time by call.
Table MakeCallsTable(const std::vector<CallsStep>& aSteps);

//! Added latency at the 50th and 99th percentile by rate.
Plot MakeAddedLatencyPlot(const std::vector<CallsStep>& aSteps);

} // namespace dandelionstand::load

#endif // dandelionstand_load_CallsExperiment_h
