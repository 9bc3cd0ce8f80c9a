#include "dandelionstand/config/Document.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::config;

TEST_CASE("A parsed document is unchanged after it is written and parsed again",
          "[config][document]")
{
  const std::string text = R"({
  // Browsing and orders.
  "limits": {"shop": {"slots": 4, "connections": 20, "queue_length": 8, "retry_budget_percent": 5}},
  "endpoints": {"shop": {"limits": "shop"}},
  "routes": {"order": {"path_prefix": "/order", "methods": ["POST"], "endpoints": "shop",
                       "idempotency": "keyed", "class": "order", "timeout_ms": 900, "attempts": 2}}
})";
  Findings findings;
  const ConfigState state = ParseDocument(text, "a.json", findings);
  REQUIRE(findings.ToString() == "");
  CHECK(state.limits_.at(LimitsName("shop")).value_ == Limits{ 4, 20, 8, 5 });
  const Route& route = state.routes_.at(RouteName("order")).value_;
  CHECK(route.idempotency_ == Idempotency::kKeyed);
  CHECK(route.trafficClass_ == TrafficClass::kOrder);
  CHECK(route.timeout_ == std::chrono::milliseconds(900));
  CHECK(ParseDocument(WriteDocument(state), "b.json", findings) == state);
  CHECK(findings.IsEmpty());
}

TEST_CASE("Every fault in a document is reported with its line and path", "[config][document]")
{
  const std::string text = R"({
  "limits": {"shop": {"slots": 0, "speed": 3}, "wide": {"slots": 9, "connections": 2}},
  "endpoints": {"shop": {"limits": "none"}, "a/b": {"limits": "shop"}},
  "routes": {
    "order": {"path_prefix": "order", "methods": ["POST", "FLY"], "endpoints": "away"},
    "once": {"path_prefix": "/x", "methods": ["POST"], "endpoints": "shop",
      "idempotency": "once", "attempts": 2},
    "copy": {"path_prefix": "/x", "methods": ["POST"], "endpoints": "shop", "class": "download"}
  },
  "extra": 1
})";
  Findings findings;
  ParseDocument(text, "a.json", findings);
  CHECK(findings.ToString() ==
        "a.json:2: limits.shop.slots: must be a whole number from 1 to 10000\n"
        "a.json:2: limits.shop.speed: unknown key\n"
        "a.json:3: endpoints.a.b: a name has 1 to 64 letters, digits, '-' and '_'\n"
        "a.json:5: routes.order.path_prefix: must start with '/' and have at most 256 printable "
        "ASCII characters without space, '?' and '#'\n"
        "a.json:5: routes.order.methods: 'FLY' is not a supported method\n"
        "a.json:10: extra: unknown key\n"
        "a.json:2: limits.wide.connections: must be at least slots, or slots stay empty\n"
        "a.json:3: endpoints.shop.limits: no limits named 'none'\n"
        "a.json:8: routes.copy.methods: must be GET or HEAD where class is download\n"
        "a.json:7: routes.once.attempts: must be 1 where idempotency is once\n"
        "a.json:5: routes.order.endpoints: no endpoints named 'away'\n"
        "a.json:6: routes.once.path_prefix: route 'copy' has it already for POST\n");
}

TEST_CASE("A text or section that is not a JSON object is reported as one finding",
          "[config][document]")
{
  for (const char* text : { "", "null", "[1]", "{\"limits\": [", "{\"limits\": []}" }) {
    Findings findings;
    ParseDocument(text, "a.json", findings);
    CHECK(findings.All().size() == 1);
  }
}
