#include "tests/support/FaultProxyClient.h"
#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/Tcp.h"
#include "tests/support/TempDir.h"
#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto kTimeout = 30s;
// Long enough for bytes to cross loopback; a longer wait would only make the checks stricter.
constexpr auto kSilenceDuration = 300ms;
const std::string kClientIp = "127.201.0.1";
const std::string kServerIp = "127.202.0.1";

//! A fault proxy between a client in domain "a" and a server in domain "b".
class ProxyFixture
{
public:
  ProxyFixture()
    : listener_(kServerIp)
    , proxyAddress_(FreeAddress(kServerIp))
  {
    const nlohmann::json settings = {
      { "control", "127.0.0.1:0" },
      { "forwards",
        { { { "listen", proxyAddress_.Get() },
            { "forward", listener_.ListeningAddress().Get() } } } }
    };
    const std::string file = folder_.Write("proxy.json", settings.dump());
    proxy_ = std::make_unique<Process>("standin-fault-proxy",
                                       std::vector<std::string>{ "--settings", file },
                                       folder_.Path() / "proxy.log");
    control_ = common::Address(proxy_->WaitForField("listening", "address"));
    borders_ = std::make_unique<FaultProxyClient>(
      control_, std::map<std::string, unsigned>{ { "a", 201 }, { "b", 202 } });
  }

  TcpStream Connect() const { return TcpStream(proxyAddress_, kClientIp); }
  const FaultProxyClient& GetFaultProxy() const { return *borders_; }
  TcpListener& Listener() { return listener_; }
  const common::Address& Control() const { return control_; }

private:
  TempDir folder_;
  TcpListener listener_;
  common::Address proxyAddress_;
  std::unique_ptr<Process> proxy_;
  common::Address control_;
  std::unique_ptr<FaultProxyClient> borders_;
};

bool IsForwarded(TcpStream& aFrom, TcpStream& aTo)
{
  return aFrom.Send("ping") && aTo.Receive(4, kTimeout) == "ping";
}

bool IsHeldBack(TcpStream& aFrom, TcpStream& aTo)
{
  return aFrom.Send("ping") && aTo.Receive(4, kSilenceDuration).empty();
}

} // namespace

TEST_CASE("Bytes are forwarded both ways and counted by border and direction", "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream client = fixture.Connect();
  auto server = fixture.Listener().Accept(kTimeout);
  REQUIRE(server);
  REQUIRE(client.Send("four"));
  CHECK(server->Receive(4, kTimeout) == "four");
  REQUIRE(server->Send("sixsix"));
  CHECK(client.Receive(6, kTimeout) == "sixsix");
  CHECK(fixture.GetFaultProxy().TrafficBetween("a", "b").bytes_ == 4);
  CHECK(fixture.GetFaultProxy().TrafficBetween("b", "a").bytes_ == 6);
  CHECK(fixture.GetFaultProxy().TrafficBetween("a", "b").connections_ == 1);
  CHECK(fixture.GetFaultProxy().TrafficBetween("b", "a").connections_ == 0);

  SECTION("closing one direction leaves the other open")
  {
    client.ShutdownSend();
    CHECK(server->ReceiveUntilClosed(kTimeout) == "");
    CHECK(IsForwarded(*server, client));
  }
}

TEST_CASE("A large amount of data arrives whole through the bounded buffers", "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream client = fixture.Connect();
  auto server = fixture.Listener().Accept(kTimeout);
  REQUIRE(server);
  fixture.GetFaultProxy().SetDelay("a", "b", 1ms);
  std::string sent(3'000'000, '\0');
  for (std::size_t index = 0; index < sent.size(); ++index) {
    sent[index] = static_cast<char>(index * 31 + index / 251);
  }
  std::string received;
  // The buffers of the kernel and the proxy can hold a piece, so Send does not block before
  // Receive.
  for (std::size_t offset = 0; offset < sent.size(); offset += 100'000) {
    REQUIRE(client.Send(sent.substr(offset, 100'000)));
    received += server->Receive(100'000, kTimeout);
  }
  CHECK((received == sent));
}

TEST_CASE("A cut border resets old connections and refuses new ones until it is healed",
          "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream oldClient = fixture.Connect();
  auto oldServer = fixture.Listener().Accept(kTimeout);
  REQUIRE(oldServer);
  REQUIRE(IsForwarded(oldClient, *oldServer));
  fixture.GetFaultProxy().Cut("a", "b");
  CHECK(oldClient.ReceiveUntilClosed(kTimeout) == "");
  CHECK(oldServer->ReceiveUntilClosed(kTimeout) == "");
  CHECK(fixture.Connect().ReceiveUntilClosed(kTimeout) == "");
  fixture.GetFaultProxy().Heal("a", "b");
  TcpStream newClient = fixture.Connect();
  auto newServer = fixture.Listener().Accept(kTimeout);
  REQUIRE(newServer);
  CHECK(IsForwarded(newClient, *newServer));
}

TEST_CASE("A one-way drop holds back the bytes of one direction until the border is healed",
          "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream client = fixture.Connect();
  auto server = fixture.Listener().Accept(kTimeout);
  REQUIRE(server);
  fixture.GetFaultProxy().DropOneWay("a", "b");
  CHECK(IsHeldBack(client, *server));
  CHECK(IsForwarded(*server, client));
  fixture.GetFaultProxy().Heal("a", "b");
  CHECK(server->Receive(4, kTimeout) == "ping");
}

TEST_CASE("Frozen connections stay silent after the border is healed, while new ones work",
          "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream oldClient = fixture.Connect();
  auto oldServer = fixture.Listener().Accept(kTimeout);
  REQUIRE(oldServer);
  REQUIRE(IsForwarded(oldClient, *oldServer));
  fixture.GetFaultProxy().Freeze("a", "b");
  fixture.GetFaultProxy().Heal("a", "b");
  CHECK(IsHeldBack(oldClient, *oldServer));
  CHECK(IsHeldBack(*oldServer, oldClient));
  TcpStream newClient = fixture.Connect();
  auto newServer = fixture.Listener().Accept(kTimeout);
  REQUIRE(newServer);
  CHECK(IsForwarded(newClient, *newServer));
  // A close is not forwarded either.
  oldClient.ShutdownSend();
  CHECK_FALSE(oldServer->ReceiveUntilClosed(kSilenceDuration));
}

TEST_CASE("Delay and bandwidth limits hold bytes back for at least the set duration",
          "[standins][proxy]")
{
  ProxyFixture fixture;
  TcpStream client = fixture.Connect();
  auto server = fixture.Listener().Accept(kTimeout);
  REQUIRE(server);
  const auto start = std::chrono::steady_clock::now();
  SECTION("delay")
  {
    fixture.GetFaultProxy().SetDelay("a", "b", 100ms);
    REQUIRE(IsForwarded(client, *server));
    CHECK(std::chrono::steady_clock::now() - start >= 100ms);
  }
  SECTION("bandwidth")
  {
    fixture.GetFaultProxy().SetBandwidth("a", "b", 100'000);
    REQUIRE(client.Send(std::string(20'000, 'x')));
    CHECK(server->Receive(20'000, kTimeout).size() == 20'000);
    CHECK(std::chrono::steady_clock::now() - start >= 200ms);
  }
}

TEST_CASE("A list of rules is refused as a whole if one rule has a fault", "[standins][proxy]")
{
  ProxyFixture fixture;
  const std::string validRule = R"({"from":201,"to":202,"cut":true})";
  for (const std::string faultyRule : { R"({"from":201,"to":202,"colour":1})",
                                        R"({"from":201,"to":202,"cut":"yes"})",
                                        R"([])",
                                        R"(7)" }) {
    CHECK(
      HttpPost(fixture.Control(), "/control", "[" + validRule + "," + faultyRule + "]").status_ ==
      400);
  }
  CHECK(HttpPost(fixture.Control(), "/control", validRule).status_ == 400);
  TcpStream client = fixture.Connect();
  auto server = fixture.Listener().Accept(kTimeout);
  REQUIRE(server);
  CHECK(IsForwarded(client, *server));
}

TEST_CASE("The fault proxy does not start if its settings file is missing", "[standins][proxy]")
{
  const RunResult missing = RunToEnd("standin-fault-proxy", { "--settings", "/no/such/file" });
  CHECK(missing.exit_ == ExitResult{ 1, 0 });
}