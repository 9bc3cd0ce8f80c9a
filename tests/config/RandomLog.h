#ifndef tests_config_RandomLog_h
#define tests_config_RandomLog_h

#include "dandelionstand/config/Replica.h"

#include <cstdint>
#include <random>
#include <vector>

namespace dandelionstand::tests {

//! A generated log of conflicting publishes, deletions, repeated records, garbage and snapshots.
struct RandomLog
{
  std::vector<config::LogRecord> records_;     //!< At offsets 1, 2, ...
  std::vector<config::ConfigStatePtr> states_; //!< The state after each record.
};

//! The same seed and length give the same log.
RandomLog MakeRandomLog(std::uint64_t aSeed, std::size_t aLength);

//! Passes the records at indexes [aBegin, aEnd) to a replica.
void ApplyRecords(config::Replica& aReplica,
                  const RandomLog& aLog,
                  std::size_t aBegin,
                  std::size_t aEnd);

//! Whether the state contains every resource that is referenced in it.
bool AreReferencesResolved(const config::ConfigState& aState);

} // namespace dandelionstand::tests

#endif // tests_config_RandomLog_h
