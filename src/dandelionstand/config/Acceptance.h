#ifndef dandelionstand_config_Acceptance_h
#define dandelionstand_config_Acceptance_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/PublishRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::config {

//! Maximum distance, in log offsets, between a record and the state that it is built on. Tombstones
//! are retained for the same distance, so that a delayed record cannot restore a deleted resource.
constexpr std::uint64_t kMaxBaseAge = 10'000;

enum class AcceptOutcome
{
  kAccepted,
  kConflict, //!< A resource was changed after the version the change is based on.
  kInvalid,  //!< The record or the resulting state failed validation.
  kGarbage,  //!< The bytes cannot be decoded as a record.
  kOld,      //!< The record's offset is not above the state's version.
  kSnapshot, //!< The record is a snapshot; it changes no resource.
};

//! A change that is based on an outdated version of its resource.
struct Conflict
{
  ResourceKey key_;
  common::Version baseVersion_;
  common::Version currentVersion_; //!< Version that last changed or deleted the resource.
  bool isDeleted_ = false;

  bool operator==(const Conflict&) const = default;
};

struct AcceptResult
{
  AcceptOutcome outcome_ = AcceptOutcome::kGarbage;
  ConfigStatePtr nextState_; //!< Null unless accepted; its version is the record's offset.
  common::Findings findings_;
  std::vector<Conflict> conflicts_;
  PublishRecord record_; //!< Incomplete if the record has findings.
};

//! Applies the record to the state, or refuses it with all findings; a record is never applied in
//! part. Deterministic: every reader of the log that has the same state gets the same result.
AcceptResult Accept(const ConfigState& aCurrent,
                    common::Offset aOffset,
                    const std::string& aRecord);

//! Removes the tombstones that are more than kMaxBaseAge offsets below the state's version.
void PurgeOldTombstones(ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Acceptance_h
