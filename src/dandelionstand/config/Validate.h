#ifndef dandelionstand_config_Validate_h
#define dandelionstand_config_Validate_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <functional>
#include <string>

namespace dandelionstand::config {

//! The place of a key of a resource; the key is "" for the whole resource.
using PlaceOf = std::function<common::Place(const ResourceKey&, const std::string& aKey)>;

//! Finds what is wrong between the resources of a state: dangling references, limits that
//! contradict each other, and routes that take the same requests.
void Validate(const ConfigState& aState, const PlaceOf& aPlaceOf, common::Findings& aFindings);

//! Places for a source without lines.
PlaceOf PlacesIn(const std::string& aSource);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Validate_h
