#ifndef dandelionstand_config_StateHash_h
#define dandelionstand_config_StateHash_h

#include "dandelionstand/common/StrongId.h"
#include "dandelionstand/config/ConfigState.h"

#include <cstdint>

namespace dandelionstand::config {

//! XXH3 hash of a state's version, resources and tombstones. Equal states have equal hashes.
using StateHash = common::StrongId<struct StateHashTag, std::uint64_t>;

StateHash HashOf(const ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_StateHash_h
