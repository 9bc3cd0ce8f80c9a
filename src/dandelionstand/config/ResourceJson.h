#ifndef dandelionstand_config_ResourceJson_h
#define dandelionstand_config_ResourceJson_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/JsonReader.h"
#include "dandelionstand/config/ConfigState.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace dandelionstand::config {

//! Whether a name has 1 to 64 ASCII letters, digits, '-' and '_'.
bool IsResourceName(const std::string& aName);

//! Reads a resource from the keys of a JSON object. Adds a finding for each wrong type, value out
//! of range and unknown key.
ResourceValue ReadResource(ResourceKind aKind, common::JsonReader& aReader);

//! Parses the JSON text of one resource. Returns none if there are findings.
std::optional<ResourceValue> ParseResource(const ResourceKey& aKey,
                                           const std::string& aText,
                                           const std::string& aSource,
                                           common::Findings& aFindings);

nlohmann::json ToJson(const ResourceValue& aValue);

//! Returns the same text for equal values: keys sorted, none omitted, no white space.
std::string CanonicalJson(const ResourceValue& aValue);

//! The state as a configuration document.
nlohmann::json ToJson(const ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_ResourceJson_h
