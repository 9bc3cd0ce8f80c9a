#include "dandelionstand/platform/RecordFrames.h"
#include "standins/log/LogStore.h"
#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/TempDir.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;
using common::Offset;
using common::TimePoint;
using standins::LogStore;

namespace {

constexpr std::size_t kNoLimit = 1'000'000;
const std::string kAppendPath = "/dandelionstand/log-append?part=0&topic=";
const std::string kReadPath = "/dandelionstand/log-read?part=0&topic=config";

std::string MakeFrame(const std::string& aRecord)
{
  std::string bytes;
  platform::AppendFrame(aRecord, bytes);
  return bytes;
}

//! The standin-log program as a process.
struct LogProcess
{
  LogProcess()
    : process_("standin-log", { "--listen", "127.0.0.1:0" }, folder_.Path() / "log")
    , address_(process_.WaitForField("listening", "address"))
  {
  }

  void Control(const nlohmann::json& aControl) const { PostJson(address_, "/control", aControl); }

  TempDir folder_;
  Process process_;
  common::Address address_;
};

} // namespace

TEST_CASE("Retention drops the oldest records and keeps the offsets of the others",
          "[standins][log]")
{
  LogStore store;
  const TimePoint start(10s);
  SECTION("by count")
  {
    store.SetRetention({ .records_ = 2, .age_ = {} });
    for (const char* record : { "one", "two", "three" }) {
      store.Append("s", record, start);
    }
  }
  SECTION("by age")
  {
    store.SetRetention({ .records_ = 0, .age_ = 1s });
    store.Append("s", "one", start);
    store.Append("s", "two", start + 500ms);
    store.Append("s", "three", start + 600ms);
    store.Expire(start + 1s);
    REQUIRE(store.FirstOffset("s") == Offset(1));
    store.Expire(start + 1001ms);
  }
  CHECK(store.FirstOffset("s") == Offset(2));
  CHECK(store.NextOffset("s") == Offset(4));
  CHECK(store.Append("s", "four", start + 1s) == Offset(4));
}

TEST_CASE("Each stream has its own offsets, which start at 1", "[standins][log]")
{
  LogStore store;
  CHECK(store.Append("a", "x", {}) == Offset(1));
  CHECK(store.Append("b", "x", {}) == Offset(1));
  CHECK(store.Append("a", "y", {}) == Offset(2));
  CHECK(store.ReadFrames("b", Offset(2), kNoLimit).empty());
}

TEST_CASE("Requests and bytes are counted by client and stream", "[standins][log]")
{
  const LogProcess service;
  HttpPost(
    service.address_, kAppendPath + "config", MakeFrame("12345"), { .sourceIp_ = "127.7.0.1" });
  HttpGet(service.address_, kReadPath + "&from=0", { .sourceIp_ = "127.8.0.1" });
  const nlohmann::json counts = GetJson(service.address_, "/counts");
  REQUIRE(counts.size() == 2);
  CHECK(counts[0]["client"] == "127.7.0.1");
  CHECK(counts[0]["stream"] == "config");
  CHECK(counts[0]["appends"] == 1);
  CHECK(counts[0]["append_bytes"] == 5);
  CHECK(counts[1]["client"] == "127.8.0.1");
  CHECK(counts[1]["reads"] == 1);
  CHECK(counts[1]["read_bytes"] == 4 + 5);
}

TEST_CASE("A control request with a fault is refused and changes nothing", "[standins][log]")
{
  const LogProcess service;
  for (const char* text : { "no JSON",
                            "[]",
                            R"({"outage":"refuse","colour":1})",
                            R"({"outage":"maybe"})",
                            R"({"outage":"refuse","delay_ms":"long"})" }) {
    CHECK(HttpPost(service.address_, "/control", text).status_ == 400);
  }
  CHECK(HttpGet(service.address_, kReadPath).status_ == 200);
  CHECK(HttpGet(service.address_, "/dandelionstand/log-read?part=0").status_ == 404);
  CHECK(HttpGet(service.address_, "/dandelionstand/log-read?topic=a&part=1").status_ == 404);
}

TEST_CASE("The answer to an append is lost only in the stream that the control request names",
          "[standins][log]")
{
  const LogProcess service;
  service.Control({ { "lose_answers", 1 }, { "lose_answers_stream", "config" } });
  CHECK(HttpPost(service.address_, kAppendPath + "members", MakeFrame("x")).status_ == 200);
  CHECK(HttpPost(service.address_, kAppendPath + "config", MakeFrame("x")).status_ == 0);
  CHECK(HttpPost(service.address_, kAppendPath + "config", MakeFrame("y")).Json()["offset"] == 1);
}

TEST_CASE("A conditional append is refused if its offset is not the end of the stream",
          "[standins][log]")
{
  const LogProcess service;
  const std::string path = kAppendPath + "work&at=";
  CHECK(HttpPost(service.address_, path + "0", MakeFrame("x")).status_ == 200);
  const HttpReply conflict = HttpPost(service.address_, path + "0", MakeFrame("x"));
  CHECK(conflict.status_ == 412);
  CHECK(conflict.Json()["end-offset"] == 1);
}

TEST_CASE("A producer's repeated, out-of-order and fenced appends are not stored",
          "[standins][log]")
{
  const LogProcess service;
  const auto append = [&](int aEpoch, int aSequence, const std::string& aBody) {
    return HttpPost(service.address_,
                    kAppendPath + "work&producer=p&epoch=" + std::to_string(aEpoch) +
                      "&sequence=" + std::to_string(aSequence),
                    aBody);
  };
  CHECK(append(2, 7, MakeFrame("a")).Json()["offset"] == 0);
  CHECK(append(2, 7, MakeFrame("a")).Json()["offset"] == 0);
  CHECK(append(2, 9, MakeFrame("c")).Json()["sequence"] == 8);
  CHECK(append(2, 8, MakeFrame("b")).Json()["offset"] == 1);
  CHECK(append(3, 1, "").status_ == 200);
  const HttpReply fenced = append(2, 9, MakeFrame("c"));
  CHECK(fenced.status_ == 409);
  CHECK(fenced.Json()["why"] == "fenced");
}

TEST_CASE("The streams of the operator refuse records without the operator header",
          "[standins][log]")
{
  const LogProcess service;
  CHECK(HttpPost(service.address_, kAppendPath + "keyed.op", MakeFrame("x")).status_ == 403);
}

TEST_CASE("An append whose answer is lost takes effect after the delay that is set",
          "[standins][log]")
{
  const LogProcess service;
  service.Control({ { "lose_answers", 1 }, { "late_ms", 100 } });
  CHECK(HttpPost(service.address_, kAppendPath + "config", MakeFrame("late")).status_ == 0);
  CHECK(HttpGet(service.address_, kReadPath + "&from=0").body_.size() == 16);
  CHECK(HttpGet(service.address_, kReadPath + "&from=0&wait-ms=5000").body_.size() == 16 + 4 + 4);
}
