#ifndef dandelionstand_operators_Rendering_h
#define dandelionstand_operators_Rendering_h

#include "dandelionstand/config/Replica.h"
#include "dandelionstand/operators/FleetStatus.h"
#include "dandelionstand/operators/Publisher.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace dandelionstand::operators {

//! Human-readable output. Every line ends with a newline.
std::string ToText(const std::vector<config::Change>& aChanges);
std::string ToText(const PublishOutcome& aOutcome);
std::string ToText(const config::EvaluatedRecord& aRecord);

//! Machine-readable output; docs/operators/publishing.md describes the keys.
nlohmann::json ToJson(const common::Findings& aFindings);
nlohmann::json ToJson(const std::vector<config::Change>& aChanges);
nlohmann::json ToJson(const PublishOutcome& aOutcome);
nlohmann::json ToJson(const config::EvaluatedRecord& aRecord);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Rendering_h
