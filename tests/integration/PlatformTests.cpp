#include "tests/support/Fleet.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;

namespace {

const nlohmann::json kDocument = { { "limits",
                                     { { "small",
                                         { { "slots", 18 },
                                           { "connections", 110 },
                                           { "queue_length", 36 },
                                           { "retry_budget_percent", 10 } } } } },
                                   { "endpoints", { { "katalog", { { "limits", "small" } } } } },
                                   { "routes",
                                     { { "browse",
                                         { { "path_prefix", "/katalog" },
                                           { "methods", { "GET" } },
                                           { "endpoints", "katalog" },
                                           { "idempotency", "idempotent" },
                                           { "class", "browse" },
                                           { "timeout_ms", 5000 },
                                           { "attempts", 3 } } } } } };

bool IsAnswered(FleetInstance& aInstance, const std::string& aIdentity)
{
  const HttpReply reply = aInstance.Get("/katalog/cushions?bytes=2000",
                                        { .headers_ = { { "Request-Identity", aIdentity } } });
  return reply.status_ == 200 && reply.body_.size() == 2000 &&
         reply.body_.starts_with(aIdentity + "\n") && reply.body_.ends_with("\n" + aIdentity);
}

} // namespace

TEST_CASE("A published configuration carries calls between failure domains behind the proxy",
          "[integration][platform]")
{
  Fleet fleet({ .regions_ = { { "east", { { "a", { { "a0", "" } } } } },
                              { "west", { { "b", { { "b0", "katalog" } } } } } } });
  fleet.Start();
  const std::uint64_t version = fleet.Publish(kDocument);
  REQUIRE(fleet.WaitForVersion(version));
  CHECK(WaitUntil([&]() { return IsAnswered(fleet["a0"], "call-1"); }));
  CHECK(WaitUntil([&]() { return IsAnswered(fleet["b0"], "call-2"); }));
  CHECK(fleet.GetBorders().Count("b", "a").bytes_ > 2000);
  CHECK(fleet.GetBorders().Count(kPlatform, "a").bytes_ > 0);
}
