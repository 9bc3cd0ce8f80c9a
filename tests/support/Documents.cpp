#include "tests/support/Documents.h"

namespace dandelionstand::tests {

nlohmann::json BrowseDocument(const std::string& aService)
{
  const nlohmann::json limits = {
    { "slots", 18 }, { "connections", 110 }, { "queue_length", 36 }, { "retry_budget_percent", 10 }
  };
  const nlohmann::json route = { { "path_prefix", "/" + aService },
                                 { "methods", { "GET" } },
                                 { "endpoints", aService },
                                 { "idempotency", "idempotent" },
                                 { "class", "browse" },
                                 { "timeout_ms", 5000 },
                                 { "attempts", 3 } };
  nlohmann::json document;
  document["limits"]["small"] = limits;
  document["endpoints"][aService]["limits"] = "small";
  document["routes"]["browse"] = route;
  return document;
}

} // namespace dandelionstand::tests
