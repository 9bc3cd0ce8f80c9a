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

//! A record built on a state that is more offsets old is refused; a deletion is remembered as long,
//! so that a late record cannot bring a deleted resource back.
constexpr std::uint64_t kBaseWindow = 10'000;

enum class AcceptOutcome
{
  kAccepted,
  kConflict, //!< Another record changed a resource first.
  kInvalid,  //!< The record, or the state that it would make, has findings.
  kGarbage,  //!< The bytes are not a record.
  kOld,      //!< The offset is not above the state's version.
  kSnapshot, //!< The record is a snapshot, which changes no resource.
};

//! A change that lost the race for its resource.
struct Conflict
{
  ResourceKey key_;
  common::Version baseVersion_;
  common::Version currentVersion_; //!< Version that won; it deleted the resource if isDeleted_.
  bool isDeleted_ = false;

  bool operator==(const Conflict&) const = default;
};

struct AcceptResult
{
  AcceptOutcome outcome_ = AcceptOutcome::kGarbage;
  ConfigStatePtr nextState_; //!< Set if accepted; its version is the record's offset.
  common::Findings findings_;
  std::vector<Conflict> conflicts_;
  PublishRecord record_; //!< As far as it could be read.
};

//! The acceptance rule: the same result at every reader of the log that has the same state.
//! Accepts a record whole or refuses it whole with all findings.
AcceptResult Accept(const ConfigState& aCurrent,
                    common::Offset aOffset,
                    const std::string& aRecord);

//! Drops the tombstones that are more than kBaseWindow offsets below the state's version.
void ForgetOldDeletions(ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Acceptance_h
