#ifndef dandelionstand_config_SnapshotPolicy_h
#define dandelionstand_config_SnapshotPolicy_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <random>

namespace dandelionstand::config {

struct SnapshotSettings
{
  //! Longest age of the newest snapshot in the log; well below the log's retention.
  common::Duration interval_ = std::chrono::minutes(10);
  //! Most records after the newest snapshot that a newcomer has to fold.
  std::uint64_t records_ = 500;
  //! Wait for each rank before this one, so that mostly one member appends.
  common::Duration rankDelay_ = std::chrono::seconds(2);
};

//! What a member knows about the log and itself.
struct SnapshotPolicyInput
{
  common::Version version_;       //!< Of the state in force; without one nothing is appended.
  common::Offset appliedOffset_;  //!< How far the state reaches.
  common::Offset logFirst_;       //!< Oldest record that is kept.
  common::Offset logNext_;        //!< Offset of the next append.
  common::Offset snapshotOffset_; //!< Newest snapshot record in the log; 0 if none.
  common::Version knownVersion_;  //!< Highest version that any reachable member has.
  std::uint32_t rank_ = 0;        //!< Among the members that may append; 0 is the first.
  bool hasGap_ = false;
};

//! Decides when a member appends a snapshot: ahead of retention, after many records, and at once
//! if the log holds none. Two members that append at one time do no harm.
class SnapshotPolicy
{
public:
  SnapshotPolicy(SnapshotSettings aSettings, std::uint64_t aSeed);

  //! Whether to append a snapshot now. To be asked again after each read and at least each second.
  bool ShouldAppend(common::TimePoint aNow, const SnapshotPolicyInput& aView);

private:
  bool IsNeeded(common::TimePoint aNow, const SnapshotPolicyInput& aView) const;

  SnapshotSettings settings_;
  std::mt19937_64 random_;
  common::Offset lastOffset_;
  common::TimePoint lastSeen_;
  bool hasStarted_ = false;
  bool isWaiting_ = false;
  common::TimePoint due_;
};

} // namespace dandelionstand::config

#endif // dandelionstand_config_SnapshotPolicy_h
