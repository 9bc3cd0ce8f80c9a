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

TEST_CASE("A daemon that gets new versions from the store does not query peers", "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnLocalVersion(Version(5));
  exchange.OnPeerVersion(Address("a"), Version(6), kStart);
  CHECK_FALSE(exchange.Tick(kStart + 50ms));
  exchange.OnLocalVersion(Version(6));
  CHECK_FALSE(exchange.Tick(kStart + 10s));
}

TEST_CASE("A daemon that stays behind queries the peer with the highest version",
          "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnLocalVersion(Version(5));
  exchange.OnPeerVersion(Address("a"), Version(6), kStart);
  exchange.OnPeerVersion(Address("b"), Version(8), kStart + 100ms);
  exchange.OnPeerVersion(Address("c"), Version(7), kStart + 100ms);
  CHECK(exchange.Tick(kStart + 300ms) == Address("b"));
  CHECK_FALSE(exchange.Tick(kStart + 500ms));
  CHECK(exchange.Tick(kStart + 800ms) == Address("b"));
}

TEST_CASE("A daemon without any version queries a peer at once", "[peer][document]")
{
  DocumentExchange exchange;
  exchange.OnPeerVersion(Address("a"), Version(6), kStart);
  CHECK(exchange.Tick(kStart) == Address("a"));
}
