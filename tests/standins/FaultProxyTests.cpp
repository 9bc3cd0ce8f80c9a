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

constexpr auto kDeadline = 30s;
// Long enough for a byte on loopback; a longer wait would only strengthen the check.
constexpr auto kSilence = 300ms;
const std::string kClientIp = "127.201.0.1";
const std::string kServerIp = "127.202.0.1";

//! A fault proxy between a client in domain "a" and a server in domain "b".
class Bench
{
public:
  Bench()
    : server_(kServerIp)
    , front_(FreeAddress(kServerIp))
  {
    const nlohmann::json settings = {
      { "control", "127.0.0.1:0" },
      { "forwards",
        { { { "listen", front_.Get() }, { "forward", server_.ListeningAddress().Get() } } } }
    };
    const std::string file = folder_.Write("proxy.json", settings.dump());
    proxy_ = std::make_unique<Process>("standin-fault-proxy",
                                       std::vector<std::string>{ "--settings", file },
                                       folder_.Path() / "proxy.log");
    control_ = common::Address(proxy_->WaitForField("listening", "address"));
    borders_ = std::make_unique<FaultProxyClient>(
      control_, std::map<std::string, unsigned>{ { "a", 201 }, { "b", 202 } });
  }

  TcpStream Connect() const { return TcpStream(front_, kClientIp); }
  const FaultProxyClient& GetFaultProxy() const { return *borders_; }
  TcpListener& Server() { return server_; }
  const common::Address& Control() const { return control_; }

private:
  TempDir folder_;
  TcpListener server_;
  common::Address front_;
  std::unique_ptr<Process> proxy_;
  common::Address control_;
  std::unique_ptr<FaultProxyClient> borders_;
};

bool Passes(TcpStream& aFrom, TcpStream& aTo)
{
  return aFrom.Send("ping") && aTo.Receive(4, kDeadline) == "ping";
}

bool IsSilent(TcpStream& aFrom, TcpStream& aTo)
{
  return aFrom.Send("ping") && aTo.Receive(4, kSilence).empty();
}

} // namespace

TEST_CASE("Bytes pass both ways and are counted by border and direction", "[standins][proxy]")
{
  Bench bench;
  TcpStream client = bench.Connect();
  auto server = bench.Server().Accept(kDeadline);
  REQUIRE(server);
  REQUIRE(client.Send("four"));
  CHECK(server->Receive(4, kDeadline) == "four");
  REQUIRE(server->Send("sixsix"));
  CHECK(client.Receive(6, kDeadline) == "sixsix");
  CHECK(bench.GetFaultProxy().TrafficBetween("a", "b").bytes_ == 4);
  CHECK(bench.GetFaultProxy().TrafficBetween("b", "a").bytes_ == 6);
  CHECK(bench.GetFaultProxy().TrafficBetween("a", "b").connections_ == 1);
  CHECK(bench.GetFaultProxy().TrafficBetween("b", "a").connections_ == 0);

  SECTION("the end of one direction leaves the other open")
  {
    client.ShutdownSend();
    CHECK(server->ReceiveUntilClosed(kDeadline) == "");
    CHECK(Passes(*server, client));
  }
}

TEST_CASE("Much data arrives whole through the bounded buffers", "[standins][proxy]")
{
  Bench bench;
  TcpStream client = bench.Connect();
  auto server = bench.Server().Accept(kDeadline);
  REQUIRE(server);
  bench.GetFaultProxy().SetDelay("a", "b", 1ms);
  std::string sent(3'000'000, '\0');
  for (std::size_t index = 0; index < sent.size(); ++index) {
    sent[index] = static_cast<char>(index * 31 + index / 251);
  }
  std::string received;
  // The kernel's buffers and the proxy hold the piece that is not yet received.
  for (std::size_t at = 0; at < sent.size(); at += 100'000) {
    REQUIRE(client.Send(sent.substr(at, 100'000)));
    received += server->Receive(100'000, kDeadline);
  }
  CHECK((received == sent));
}

TEST_CASE("A cut border resets old connections and refuses new ones until it heals",
          "[standins][proxy]")
{
  Bench bench;
  TcpStream old = bench.Connect();
  auto oldServer = bench.Server().Accept(kDeadline);
  REQUIRE(oldServer);
  REQUIRE(Passes(old, *oldServer));
  bench.GetFaultProxy().Cut("a", "b");
  CHECK(old.ReceiveUntilClosed(kDeadline) == "");
  CHECK(oldServer->ReceiveUntilClosed(kDeadline) == "");
  CHECK(bench.Connect().ReceiveUntilClosed(kDeadline) == "");
  bench.GetFaultProxy().Heal("a", "b");
  TcpStream fresh = bench.Connect();
  auto freshServer = bench.Server().Accept(kDeadline);
  REQUIRE(freshServer);
  CHECK(Passes(fresh, *freshServer));
}

TEST_CASE("A one-way drop holds back one direction and goes on when healed", "[standins][proxy]")
{
  Bench bench;
  TcpStream client = bench.Connect();
  auto server = bench.Server().Accept(kDeadline);
  REQUIRE(server);
  bench.GetFaultProxy().DropOneWay("a", "b");
  CHECK(IsSilent(client, *server));
  CHECK(Passes(*server, client));
  bench.GetFaultProxy().Heal("a", "b");
  CHECK(server->Receive(4, kDeadline) == "ping");
}

TEST_CASE("Frozen connections are silent for good while new ones work", "[standins][proxy]")
{
  Bench bench;
  TcpStream old = bench.Connect();
  auto oldServer = bench.Server().Accept(kDeadline);
  REQUIRE(oldServer);
  REQUIRE(Passes(old, *oldServer));
  bench.GetFaultProxy().Freeze("a", "b");
  bench.GetFaultProxy().Heal("a", "b");
  CHECK(IsSilent(old, *oldServer));
  CHECK(IsSilent(*oldServer, old));
  TcpStream fresh = bench.Connect();
  auto freshServer = bench.Server().Accept(kDeadline);
  REQUIRE(freshServer);
  CHECK(Passes(fresh, *freshServer));
  // The end of one side is lost as well.
  old.ShutdownSend();
  CHECK_FALSE(oldServer->ReceiveUntilClosed(kSilence));
}

TEST_CASE("Delay and bandwidth hold bytes back at least as long as set", "[standins][proxy]")
{
  Bench bench;
  TcpStream client = bench.Connect();
  auto server = bench.Server().Accept(kDeadline);
  REQUIRE(server);
  const auto start = std::chrono::steady_clock::now();
  SECTION("delay")
  {
    bench.GetFaultProxy().SetDelay("a", "b", 100ms);
    REQUIRE(Passes(client, *server));
    CHECK(std::chrono::steady_clock::now() - start >= 100ms);
  }
  SECTION("bandwidth")
  {
    bench.GetFaultProxy().SetBandwidth("a", "b", 100'000);
    REQUIRE(client.Send(std::string(20'000, 'x')));
    CHECK(server->Receive(20'000, kDeadline).size() == 20'000);
    CHECK(std::chrono::steady_clock::now() - start >= 200ms);
  }
}

TEST_CASE("A list of rules with a fault is refused whole", "[standins][proxy]")
{
  Bench bench;
  const std::string cut = R"({"from":201,"to":202,"cut":true})";
  for (const std::string fault : { R"({"from":201,"to":202,"colour":1})",
                                   R"({"from":201,"to":202,"cut":"yes"})",
                                   R"([])",
                                   R"(7)" }) {
    CHECK(HttpPost(bench.Control(), "/control", "[" + cut + "," + fault + "]").status_ == 400);
  }
  CHECK(HttpPost(bench.Control(), "/control", cut).status_ == 400);
  TcpStream client = bench.Connect();
  auto server = bench.Server().Accept(kDeadline);
  REQUIRE(server);
  CHECK(Passes(client, *server));
}

TEST_CASE("The fault proxy does not start without its settings", "[standins][proxy]")
{
  const RunResult missing = RunToEnd("standin-fault-proxy", { "--settings", "/no/such/file" });
  CHECK(missing.exit_ == ExitResult{ 1, 0 });
}
