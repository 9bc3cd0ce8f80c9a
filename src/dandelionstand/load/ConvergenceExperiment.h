#ifndef dandelionstand_load_ConvergenceExperiment_h
#define dandelionstand_load_ConvergenceExperiment_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/Table.h"
#include "dandelionstand/load/Testbed.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Which ways of spreading are compared, and for how long.
struct ConvergencePlan
{
  TopologyShape shape_;
  std::vector<std::string> spreadings_ = { "tree", "direct", "gossip" };
  std::vector<std::string> profiles_ = { "time", "bytes" };
  std::uint32_t publishCount_ = 12;
  common::Duration publishInterval_ = std::chrono::milliseconds(500);
  common::Duration idleWindow_ = std::chrono::seconds(4);
  common::Duration inForceLimit_ = std::chrono::seconds(10);
  bool hasChurn_ = true;       //!< A phase in which a daemon is restarted before each publish.
  bool hasHerdRestart_ = true; //!< A phase in which all daemons are killed and return at once.
};

//! Takes one line on the progress.
using ProgressSink = std::function<void(const std::string&)>;

//! One row for each spreading, profile and phase: delays until in force and control bytes by
//! border.
Table RunConvergence(common::EventLoop& aLoop,
                     const ConvergencePlan& aPlan,
                     const TestbedSettings& aSettings,
                     const ProgressSink& aProgress);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ConvergenceExperiment_h
