#ifndef tests_config_RandomLog_h
#define tests_config_RandomLog_h

#include "dandelionstand/config/Replica.h"

#include <cstdint>
#include <random>
#include <vector>

namespace dandelionstand::tests {

//! A seeded log: racing publishes, deletions, copies of earlier records, garbage and snapshots.
struct LogScript
{
  std::vector<config::LogRecord> records_;     //!< At offsets 1, 2, ...
  std::vector<config::ConfigStatePtr> states_; //!< The state after each record.
};

LogScript MakeLog(std::uint64_t aSeed, std::size_t aLength);

//! Folds records from an index up to an end, as a reader of the log does.
void FoldInto(config::Replica& aReplica,
              const LogScript& aLog,
              std::size_t aBegin,
              std::size_t aEnd);

//! Whether each reference leads to a resource that the state holds.
bool IsClosed(const config::ConfigState& aState);

} // namespace dandelionstand::tests

#endif // tests_config_RandomLog_h
