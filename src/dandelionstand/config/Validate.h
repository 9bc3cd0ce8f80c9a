#ifndef dandelionstand_config_Validate_h
#define dandelionstand_config_Validate_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <functional>
#include <string>

namespace dandelionstand::config {

//! Returns the place to report for a key of a resource; an empty key means the resource itself.
using PlaceLookup = std::function<common::Place(const ResourceKey&, const std::string& aKey)>;

//! Checks the resources of a state together: dangling references, contradictory settings, routes
//! that match the same requests, and the size of the state.
void Validate(const ConfigState& aState,
              const PlaceLookup& aPlaceLookup,
              common::Findings& aFindings);

//! Reports places by resource and key, for a source without line numbers.
PlaceLookup MakePlaceLookup(const std::string& aSource);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Validate_h
