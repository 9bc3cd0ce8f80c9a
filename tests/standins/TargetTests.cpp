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
const std::string kDownloadPath = "/file?bytes=200000&pattern=1";

//! A standin-target process that does not announce itself to a daemon.
class TargetFixture
{
public:
  TargetFixture() { Start(); }

  void Start()
  {
    process_.reset();
    process_ = std::make_unique<Process>(
      "standin-target",
      std::vector<std::string>{ "--service", "katalog", "--run-file", folder_.Path() / "runs" },
      folder_.Path() / std::to_string(++startCount_));
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
  std::uint64_t GetStat(const std::string& aName) const
  {
    return GetJson(address_, "/stats").at(aName).get<std::uint64_t>();
  }
  //! Sends a request and returns without waiting for the answer.
  TcpStream StartRequest(const std::string& aTarget) const
  {
    TcpStream stream(address_, "");
    stream.Send("GET " + aTarget + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return stream;
  }
  Process& GetProcess() { return *process_; }

private:
  TempDir folder_;
  int startCount_ = 0;
  std::unique_ptr<Process> process_;
  common::Address address_;
};

} // namespace

TEST_CASE("An answer carries the identity of its request and has the requested length",
          "[standins][target]")
{
  const TargetFixture fixture;
  const HttpReply reply = fixture.Get("/page?bytes=100", { { "Request-Identity", "abc" } });
  CHECK(reply.status_ == 200);
  CHECK(reply.Header("request-identity") == "abc");
  CHECK(reply.body_ == "abc\n" + std::string(92, '.') + "\nabc");
}

TEST_CASE("Runs are counted by key and identity, and the counts survive a kill",
          "[standins][target]")
{
  TargetFixture fixture;
  fixture.Post({ { "Idempotency-Key", "k1" }, { "Request-Identity", "i1" } });
  fixture.Post({ { "Idempotency-Key", "k1" }, { "Request-Identity", "i2" } });
  fixture.Get("/page", { { "Request-Identity", "i3" } });
  fixture.GetProcess().Kill();
  fixture.Start();
  fixture.Post({ { "Idempotency-Key", "k2" } });
  CHECK(fixture.Get("/runs").Json() == nlohmann::json{ { "k1", 2 }, { "k2", 1 } });
  CHECK(fixture.Get("/runs?by=identity").Json() == nlohmann::json{ { "i1", 1 }, { "i2", 1 } });
}

TEST_CASE("A request above the slots is shed, marked as not run and not counted",
          "[standins][target]")
{
  const TargetFixture fixture;
  fixture.Control({ { "slots", 1 }, { "hang", true } });
  const TcpStream busy = fixture.StartRequest("/page");
  REQUIRE(WaitUntil([&]() { return fixture.GetStat("in_flight") == 1; }));
  const HttpReply reply = fixture.Post({ { "Idempotency-Key", "k" } });
  CHECK(reply.status_ == 503);
  CHECK(reply.Header("dandelion-shed") == "slots");
  CHECK(fixture.Get("/runs").Json().empty());

  SECTION("health and load report false values on request")
  {
    CHECK(fixture.Get("/health").Json()["healthy"] == false);
    CHECK(fixture.Get("/load").Json()["busy"] == 1);
    fixture.Control({ { "health_misleads", true }, { "load_misleads", true } });
    CHECK(fixture.Get("/health").Json()["healthy"] == true);
    CHECK(fixture.Get("/load").Json()["busy"] == 0);
  }
}

TEST_CASE("A client that closes its connection is counted as cancelled and frees its slot",
          "[standins][target]")
{
  const TargetFixture fixture;
  fixture.Control({ { "hang", true } });
  {
    const TcpStream client = fixture.StartRequest("/page");
    REQUIRE(WaitUntil([&]() { return fixture.GetStat("in_flight") == 1; }));
  }
  CHECK(WaitUntil([&]() { return fixture.GetStat("cancelled") == 1; }));
  CHECK(fixture.GetStat("in_flight") == 0);
}

TEST_CASE("A request whose deadline cannot be met is shed, and deadlines are recorded",
          "[standins][target]")
{
  const TargetFixture fixture;
  fixture.Control({ { "cold_requests", 1 }, { "cold_extra_ms", 100 } });
  CHECK(fixture.Get("/page", { { "Deadline-Ms", "99" } }).Header("dandelion-shed") == "deadline");
  CHECK(fixture.Get("/page", { { "Deadline-Ms", "5000" } }).status_ == 200);
  // The only cold request was served before.
  CHECK(fixture.Get("/page", { { "Deadline-Ms", "99" } }).status_ == 200);
  CHECK(fixture.GetStat("hopeless") == 1);
  CHECK(fixture.GetStat("last_deadline_ms") == 99);
}

TEST_CASE("A download that breaks off continues by range as long as its ETag is unchanged",
          "[standins][target]")
{
  const TargetFixture fixture;
  const HttpReply original = fixture.Get(kDownloadPath);
  REQUIRE(original.body_.size() == 200'000);
  fixture.Control({ { "break_after_bytes", 150'000 }, { "breaks", 1 } });
  TcpStream client = fixture.StartRequest(kDownloadPath);
  const auto part = client.ReceiveUntilClosed(kTimeout);
  REQUIRE(part);
  CHECK(part->size() - part->find("\r\n\r\n") - 4 == 150'000);

  const Headers restHeaders = { { "Range", "bytes=150000-" },
                                { "If-Range", original.Header("etag") } };
  const HttpReply remainder = fixture.Get(kDownloadPath, restHeaders);
  CHECK(remainder.status_ == 206);
  CHECK(remainder.Header("content-range") == "bytes 150000-199999/200000");
  CHECK((remainder.body_ == original.body_.substr(150'000)));

  fixture.Control({ { "content_version", 2 } });
  const HttpReply changed = fixture.Get(kDownloadPath, restHeaders);
  CHECK(changed.status_ == 200);
  CHECK(changed.Header("etag") != original.Header("etag"));
  CHECK((changed.body_ != original.body_));
  CHECK(fixture.Get(kDownloadPath, { { "Range", "bytes=200000-" } }).status_ == 416);
}

TEST_CASE("A target completes its requests before it exits on SIGTERM", "[standins][target]")
{
  TargetFixture fixture;
  fixture.Control({ { "think_ms", 300 } });
  TcpStream client = fixture.StartRequest("/page?bytes=100");
  REQUIRE(WaitUntil([&]() { return fixture.GetStat("in_flight") == 1; }));
  fixture.GetProcess().Terminate();
  const auto answer = client.ReceiveUntilClosed(kTimeout);
  REQUIRE(answer);
  CHECK(answer->ends_with(std::string(96, '.') + "\n"));
  CHECK(fixture.GetProcess().Wait() == ExitResult{ 0, 0 });
}