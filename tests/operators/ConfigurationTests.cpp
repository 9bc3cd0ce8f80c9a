#include "dandelionstand/operators/Configuration.h"

#include "dandelionstand/config/Document.h"

#include <catch2/catch.hpp>

#include <type_traits>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::operators;
using namespace std::chrono_literals;

namespace {

RouteSpec SpecFor(const EndpointsHandle& aEndpoints)
{
  return { "/shop", { "GET" }, aEndpoints, Promise::Idempotent(3), TrafficClass::kBrowse, 1s };
}

} // namespace

// Only a Configuration creates handles, so no handle refers to a missing resource.
static_assert(!std::is_default_constructible_v<EndpointsHandle>);
static_assert(!std::is_constructible_v<EndpointsHandle, const Configuration*, ServiceName>);
static_assert(!std::is_constructible_v<EndpointsHandle, LimitsHandle>);

TEST_CASE("A configuration writes a document without findings", "[operators][configuration]")
{
  Configuration configuration;
  const LimitsHandle limits = configuration.AddLimits("shop", { 4, 20, 8, 10 });
  configuration.AddRoute("browse", SpecFor(configuration.AddEndpoints("shop", limits)));
  Findings findings;
  const ConfigState state = ParseDocument(configuration.Write(), "out", findings);
  CHECK(findings.ToString() == "");
  CHECK(state.routes_.at(RouteName("browse")).value_.endpoints_ == ServiceName("shop"));
}

TEST_CASE("A configuration reports every finding of the document validator",
          "[operators][configuration]")
{
  Configuration configuration;
  const LimitsHandle limits = configuration.AddLimits("shop", { 40, 20, 8, 200 });
  const EndpointsHandle shop = configuration.AddEndpoints("shop", limits);
  configuration.AddRoute("browse", SpecFor(shop));
  configuration.AddRoute("again", SpecFor(shop));
  configuration.AddRoute("again", SpecFor(shop));
  CHECK_THROWS_WITH(
    configuration.Write(),
    "configuration: routes.again: is added twice\n"
    "configuration:11: limits.shop.retry_budget_percent: must be a whole number from 0 to 100\n"
    "configuration:9: limits.shop.connections: must be at least slots, or slots stay empty\n"
    "configuration:35: routes.browse.path_prefix: route 'again' has it already for GET\n");
}

TEST_CASE("A handle of another configuration is refused", "[operators][configuration]")
{
  Configuration owner;
  Configuration other;
  const LimitsHandle limits = owner.AddLimits("shop", {});
  CHECK_THROWS_AS(other.AddEndpoints("shop", limits), std::invalid_argument);
  CHECK_THROWS_AS(other.AddRoute("browse", SpecFor(owner.AddEndpoints("shop", limits))),
                  std::invalid_argument);
}
