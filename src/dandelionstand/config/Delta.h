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

//! A resource that was deleted, and the version that deleted it.
struct Tombstone
{
  ResourceKey key_;
  common::Version version_;
};

//! What leads from one version to a later one: the last value or the deletion of each resource.
struct Delta
{
  common::Version from_;
  common::Version to_;
  StateHash toHash_;
  common::Offset through_; //!< Every record up to this offset is part of the later state.
  std::vector<Resource> changed_;
  std::vector<Tombstone> deleted_;
};

//! The delta from a version to a state. Empty if the version is not below the state's, or so old
//! that deletions since then may be forgotten; a snapshot is then needed.
std::optional<Delta> DeltaSince(const ConfigState& aState,
                                common::Offset aThrough,
                                common::Version aFrom);

//! The later state; null if the delta starts at another version or leads to another hash.
ConfigStatePtr ApplyDelta(const ConfigState& aCurrent, const Delta& aDelta);

std::string EncodeDelta(const Delta& aDelta);

//! Empty with findings if the bytes are damaged.
std::optional<Delta> DecodeDelta(const std::string& aData,
                                 const std::string& aSource,
                                 common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Delta_h
