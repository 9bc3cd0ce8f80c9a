#ifndef dandelionstand_load_RunCounts_h
#define dandelionstand_load_RunCounts_h

#include "dandelionstand/load/OrderAudit.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Parses a target's count of runs: a JSON object of idempotency key and number. None if the text
//! is anything else.
std::optional<std::vector<OrderRuns>> ParseRunCounts(const std::string& aText);

} // namespace dandelionstand::load

#endif // dandelionstand_load_RunCounts_h
