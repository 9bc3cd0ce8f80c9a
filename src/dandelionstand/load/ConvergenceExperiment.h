#ifndef dandelionstand_load_ConvergenceExperiment_h
#define dandelionstand_load_ConvergenceExperiment_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/Table.h"
#include "dandelionstand/load/Testbed.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Spreading modes and profiles to compare, and the length of each phase.
struct ConvergencePlan
{
  TopologyShape shape_;
  std::vector<std::string> spreadings_ = { "tree", "direct", "gossip" };
  std::vector<std::string> profiles_ = { "time", "bytes" };
  std::uint32_t publishCount_ = 12;
  common::Duration publishInterval_ = std::chrono::milliseconds(500);
  common::Duration idleWindow_ = std::chrono::seconds(4);
  common::Duration activationTimeout_ = std::chrono::seconds(10);
  bool hasChurn_ = true;       //!< Adds a phase that restarts a daemon before each publish.
  bool hasHerdRestart_ = true; //!< Adds a phase that restarts all daemons at the same time.
};

//! Receives one line of progress output.
using ProgressSink = std::function<void(const std::string&)>;

//! One row per spreading mode, profile and phase: delays until activation and control bytes by
//! locality.
Table RunConvergence(common::EventLoop& aLoop,
                     const ConvergencePlan& aPlan,
                     const TestbedSettings& aSettings,
                     const ProgressSink& aProgress);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ConvergenceExperiment_h
