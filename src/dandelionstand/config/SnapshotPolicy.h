#ifndef dandelionstand_config_SnapshotPolicy_h
#define dandelionstand_config_SnapshotPolicy_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <random>

namespace dandelionstand::config {

struct SnapshotSettings
{
  //! Maximum age of the newest snapshot in the log. Must be well below the log's retention period.
  common::Duration maxSnapshotAge_ = std::chrono::minutes(10);
  //! Maximum number of records after the newest snapshot that a new member has to replay.
  std::uint64_t maxRecordsSinceSnapshot_ = 500;
  //! Delay per rank: members of lower rank wait longer, so that usually only one appends.
  common::Duration delayPerRank_ = std::chrono::seconds(2);
};

//! A member's state and its knowledge of the log.
struct SnapshotPolicyInput
{
  common::Version version_;       //!< Version of the active state; 0 if there is none.
  common::Offset appliedOffset_;  //!< Last offset that the state includes.
  common::Offset logFirst_;       //!< Oldest record that the log retains.
  common::Offset logNext_;        //!< Offset of the next append.
  common::Offset snapshotOffset_; //!< Newest snapshot record that was read; 0 if none.
  common::Version knownVersion_;  //!< Highest version among the reachable members.
  std::uint32_t rank_ = 0;        //!< Rank among the members that may append; 0 is first.
  bool hasGap_ = false;           //!< See Replica::HasGap.
};

//! Decides when a member appends a snapshot to the log: before the newest one expires, after a
//! number of records, and if the log has dropped all snapshots. Concurrent appends by two members
//! are harmless.
class SnapshotPolicy
{
public:
  SnapshotPolicy(SnapshotSettings aSettings, std::uint64_t aSeed);

  //! Whether to append a snapshot now. Call after each log read and at least once a second.
  bool ShouldAppend(common::TimePoint aNow, const SnapshotPolicyInput& aInput);

private:
  bool IsNeeded(common::TimePoint aNow, const SnapshotPolicyInput& aInput) const;

  SnapshotSettings settings_;
  std::mt19937_64 random_;
  common::Offset lastSnapshotOffset_;
  common::TimePoint snapshotSeenAt_;
  bool hasStarted_ = false;
  bool isWaiting_ = false;
  common::TimePoint appendAt_;
};

} // namespace dandelionstand::config

#endif // dandelionstand_config_SnapshotPolicy_h
