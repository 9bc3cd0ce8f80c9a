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
const std::string kDownload = "/file?bytes=200000&pattern=1";

//! A target without a daemon.
class Bench
{
public:
  Bench() { Start(); }

  void Start()
  {
    process_.reset();
    process_ = std::make_unique<Process>(
      "standin-target",
      std::vector<std::string>{ "--service", "katalog", "--run-file", folder_.Path() / "runs" },
      folder_.Path() / std::to_string(++starts_));
    address_ = common::Address(process_->WaitForField("listening", "address"));
  }

  HttpReply Get(const std::string& aTarget, const Headers& aHeaders = {}) const
  {
    return HttpGet(address_, aTarget, { .headers_ = aHeaders });
  }
  HttpReply Post(const Headers& aHeaders) const
  {
    return HttpPost(address_, "/order", "one box", { .headers_ = aHeaders });
  }
  void Control(const nlohmann::json& aControl) const { PostJson(address_, "/control", aControl); }
  std::uint64_t Stat(const std::string& aName) const
  {
    return GetJson(address_, "/stats").at(aName).get<std::uint64_t>();
  }
  //! Starts a request whose answer is not waited for.
  TcpStream Open(const std::string& aTarget) const
  {
    TcpStream stream(address_, "");
    stream.Send("GET " + aTarget + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return stream;
  }
  Process& GetProcess() { return *process_; }

private:
  TempDir folder_;
  int starts_ = 0;
  std::unique_ptr<Process> process_;
  common::Address address_;
};

} // namespace

TEST_CASE("An answer carries the identity of its request and the length asked for",
          "[standins][target]")
{
  const Bench bench;
  const HttpReply reply = bench.Get("/page?bytes=100", { { "Request-Identity", "abc" } });
  CHECK(reply.status_ == 200);
  CHECK(reply.Header("request-identity") == "abc");
  CHECK(reply.body_ == "abc\n" + std::string(92, '.') + "\nabc");
}

TEST_CASE("Runs are counted by key and identity, also over a kill", "[standins][target]")
{
  Bench bench;
  bench.Post({ { "Idempotency-Key", "k1" }, { "Request-Identity", "i1" } });
  bench.Post({ { "Idempotency-Key", "k1" }, { "Request-Identity", "i2" } });
  bench.Get("/page", { { "Request-Identity", "i3" } });
  bench.GetProcess().Kill();
  bench.Start();
  bench.Post({ { "Idempotency-Key", "k2" } });
  CHECK(bench.Get("/runs").Json() == nlohmann::json{ { "k1", 2 }, { "k2", 1 } });
  CHECK(bench.Get("/runs?by=identity").Json() == nlohmann::json{ { "i1", 1 }, { "i2", 1 } });
}

TEST_CASE("Work above the slots is shed, marked as not run and not counted", "[standins][target]")
{
  const Bench bench;
  bench.Control({ { "slots", 1 }, { "hang", true } });
  const TcpStream busy = bench.Open("/page");
  REQUIRE(WaitUntil([&]() { return bench.Stat("in_flight") == 1; }));
  const HttpReply reply = bench.Post({ { "Idempotency-Key", "k" } });
  CHECK(reply.status_ == 503);
  CHECK(reply.Header("dandelion-shed") == "slots");
  CHECK(bench.Get("/runs").Json().empty());

  SECTION("health and load mislead on request")
  {
    CHECK(bench.Get("/health").Json()["healthy"] == false);
    CHECK(bench.Get("/load").Json()["busy"] == 1);
    bench.Control({ { "health_misleads", true }, { "load_misleads", true } });
    CHECK(bench.Get("/health").Json()["healthy"] == true);
    CHECK(bench.Get("/load").Json()["busy"] == 0);
  }
}

TEST_CASE("A client that goes away is counted as cancelled and frees its slot",
          "[standins][target]")
{
  const Bench bench;
  bench.Control({ { "hang", true } });
  {
    const TcpStream client = bench.Open("/page");
    REQUIRE(WaitUntil([&]() { return bench.Stat("in_flight") == 1; }));
  }
  CHECK(WaitUntil([&]() { return bench.Stat("cancelled") == 1; }));
  CHECK(bench.Stat("in_flight") == 0);
}

TEST_CASE("A request whose deadline cannot be met is shed; others are recorded",
          "[standins][target]")
{
  const Bench bench;
  bench.Control({ { "cold_requests", 1 }, { "cold_extra_ms", 100 } });
  CHECK(bench.Get("/page", { { "Deadline-Ms", "99" } }).Header("dandelion-shed") == "deadline");
  CHECK(bench.Get("/page", { { "Deadline-Ms", "5000" } }).status_ == 200);
  // The one cold request has been served.
  CHECK(bench.Get("/page", { { "Deadline-Ms", "99" } }).status_ == 200);
  CHECK(bench.Stat("hopeless") == 1);
  CHECK(bench.Stat("last_deadline_ms") == 99);
}

TEST_CASE("A download breaks off and continues by range while its ETag is equal",
          "[standins][target]")
{
  const Bench bench;
  const HttpReply whole = bench.Get(kDownload);
  REQUIRE(whole.body_.size() == 200'000);
  bench.Control({ { "break_after_bytes", 150'000 }, { "breaks", 1 } });
  TcpStream client = bench.Open(kDownload);
  const auto part = client.ReceiveUntilClosed(kDeadline);
  REQUIRE(part);
  CHECK(part->size() - part->find("\r\n\r\n") - 4 == 150'000);

  const Headers rest = { { "Range", "bytes=150000-" }, { "If-Range", whole.Header("etag") } };
  const HttpReply second = bench.Get(kDownload, rest);
  CHECK(second.status_ == 206);
  CHECK(second.Header("content-range") == "bytes 150000-199999/200000");
  CHECK((second.body_ == whole.body_.substr(150'000)));

  bench.Control({ { "content_version", 2 } });
  const HttpReply changed = bench.Get(kDownload, rest);
  CHECK(changed.status_ == 200);
  CHECK(changed.Header("etag") != whole.Header("etag"));
  CHECK((changed.body_ != whole.body_));
  CHECK(bench.Get(kDownload, { { "Range", "bytes=200000-" } }).status_ == 416);
}

TEST_CASE("A target that is told to end leaves its work unbroken", "[standins][target]")
{
  Bench bench;
  bench.Control({ { "think_ms", 300 } });
  TcpStream client = bench.Open("/page?bytes=100");
  REQUIRE(WaitUntil([&]() { return bench.Stat("in_flight") == 1; }));
  bench.GetProcess().Terminate();
  const auto answer = client.ReceiveUntilClosed(kDeadline);
  REQUIRE(answer);
  CHECK(answer->ends_with(std::string(96, '.') + "\n"));
  CHECK(bench.GetProcess().Wait() == ExitResult{ 0, 0 });
}
