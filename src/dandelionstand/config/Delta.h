#ifndef dandelionstand_config_Delta_h
#define dandelionstand_config_Delta_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/StateHash.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::config {

//! A deleted resource and the version that deleted it.
struct Tombstone
{
  ResourceKey key_;
  common::Version version_;
};

//! The difference between two versions: the last value or the deletion of each changed resource.
struct Delta
{
  common::Version fromVersion_;
  common::Version toVersion_;
  StateHash toHash_;
  common::Offset appliedOffset_; //!< The later state includes every record up to this offset.
  std::vector<Resource> changed_;
  std::vector<Tombstone> deleted_;
};

//! Computes the delta from a version to a state. Returns none if the version is not below the
//! state's, or so far below that tombstones since then may have been purged; send a snapshot then.
std::optional<Delta> DeltaSince(const ConfigState& aState,
                                common::Offset aAppliedOffset,
                                common::Version aFrom);

//! Returns the later state, or null if the delta starts at another version than the current state
//! or the hash of the result is not toHash_.
ConfigStatePtr ApplyDelta(const ConfigState& aCurrent, const Delta& aDelta);

std::string EncodeDelta(const Delta& aDelta);

//! Returns none, and adds findings, if the bytes are not a valid delta.
std::optional<Delta> DecodeDelta(const std::string& aData,
                                 const std::string& aSource,
                                 common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Delta_h
