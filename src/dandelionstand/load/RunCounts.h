#ifndef dandelionstand_load_RunCounts_h
#define dandelionstand_load_RunCounts_h

#include "dandelionstand/load/OrderAudit.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Parses the run counts of a target, a JSON object that maps idempotency keys to unsigned numbers;
//! std::nullopt for any other text.
std::optional<std::vector<OrderRuns>> ParseRunCounts(const std::string& aText);

} // namespace dandelionstand::load

#endif // dandelionstand_load_RunCounts_h
