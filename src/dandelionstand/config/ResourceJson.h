#ifndef dandelionstand_config_ResourceJson_h
#define dandelionstand_config_ResourceJson_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/JsonReader.h"
#include "dandelionstand/config/ConfigState.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace dandelionstand::config {

//! Whether a resource may have this name: 1 to 64 letters, digits, '-' and '_'.
bool IsResourceName(const std::string& aName);

//! Reads a resource of a kind from the keys of an object; types, ranges and unknown keys become
//! findings.
ResourceValue ReadResource(ResourceKind aKind, common::JsonReader& aReader);

//! Parses the JSON text of one resource; empty if there are findings.
std::optional<ResourceValue> ParseResource(const ResourceKey& aKey,
                                           const std::string& aText,
                                           const std::string& aSource,
                                           common::Findings& aFindings);

nlohmann::json ToJson(const ResourceValue& aValue);

//! The same text for equal values: sorted keys, every key written, no spaces.
std::string CanonicalJson(const ResourceValue& aValue);

//! The document of a whole state.
nlohmann::json ToJson(const ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_ResourceJson_h
