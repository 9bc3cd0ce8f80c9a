#include "dandelionstand/config/ConfigState.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::config;

TEST_CASE("A request matches the route with the longest path prefix that allows its method",
          "[config][routes]")
{
  ConfigState state;
  state.routes_[RouteName("all")].value_ = { .pathPrefix_ = "/", .methods_ = { "GET", "POST" } };
  state.routes_[RouteName("shop")].value_ = { .pathPrefix_ = "/shop", .methods_ = { "GET" } };
  REQUIRE(state.Match("any.example", "GET", "/shop/1") != nullptr);
  CHECK(state.Match("any.example", "GET", "/shop/1")->first == RouteName("shop"));
  CHECK(state.Match("any.example", "POST", "/shop/1")->first == RouteName("all"));
  CHECK(state.Match("any.example", "PUT", "/shop/1") == nullptr);
}
