#include "dandelionstand/peer/DocumentExchange.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;
using common::Address;
using common::Version;
using peer::DocumentExchange;

namespace {

constexpr common::TimePoint kStart{ 1h };

} // namespace

TEST_CASE("A daemon that the store serves asks nobody", "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnVersion(Version(5));
  exchange.OnHeard(Address("a"), Version(6), kStart);
  CHECK_FALSE(exchange.Tick(kStart + 50ms));
  exchange.OnVersion(Version(6));
  CHECK_FALSE(exchange.Tick(kStart + 10s));
}

TEST_CASE("A daemon that stays behind asks the peer with the newest version", "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnVersion(Version(5));
  exchange.OnHeard(Address("a"), Version(6), kStart);
  exchange.OnHeard(Address("b"), Version(8), kStart + 100ms);
  exchange.OnHeard(Address("c"), Version(7), kStart + 100ms);
  CHECK(exchange.Tick(kStart + 300ms) == Address("b"));
  CHECK_FALSE(exchange.Tick(kStart + 500ms));
  CHECK(exchange.Tick(kStart + 800ms) == Address("b"));
}

TEST_CASE("A daemon without any version asks at once", "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnHeard(Address("a"), Version(6), kStart);
  CHECK(exchange.Tick(kStart) == Address("a"));
}
