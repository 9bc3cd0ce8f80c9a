#include "dandelionstand/platform/PlatformBounds.h"
#include "dandelionstand/platform/TargetReport.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

namespace {

const std::string kBeat = R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1",
  "slots":9,"state":"draining","cold-remaining-s":1.5,"sequence":4,"born":1700000000000})";

} // namespace

TEST_CASE("A heartbeat says what the target does", "[platform][report]")
{
  common::Findings findings;
  const auto news = platform::DecodeHeartbeat("i-1", kBeat, findings);
  REQUIRE(news);
  CHECK(news->startId_ == "i-1");
  CHECK(news->service_ == common::ServiceName("s1"));
  CHECK(news->address_ == common::Address("10.0.0.9:8080"));
  CHECK(news->slots_ == 9);
  CHECK(news->phase_ == target::TargetPhase::kDraining);
  CHECK(news->coldLeft_ == 1500ms);
  CHECK(news->sequence_ == 4);
  CHECK(news->bornMs_ == 1'700'000'000'000);
}

TEST_CASE("A heartbeat of another writer names no target", "[platform][report]")
{
  const std::string cases[] = {
    "",
    "\xff\xfe",
    "[]",
    R"({"service":"s1","slots":9,"state":"ready","sequence":4})",
    R"({"service":"s1","address":"10.0.0.9:8080","slots":"9","state":"ready","sequence":4})",
    R"({"service":"s1","address":"10.0.0.9:8080","slots":0,"state":"ready","sequence":4})",
    R"({"service":"s1","address":"10.0.0.9:8080","slots":9,"state":"asleep","sequence":4})",
    R"({"service":7,"address":"10.0.0.9:8080","slots":9,"state":"ready","sequence":4})",
    R"({"service":"s1","address":"nowhere","slots":9,"state":"ready","sequence":4})",
    R"({"service":"s1","address":"10.0.0.9:8080","slots":9,"state":"ready","sequence":4.5})",
    R"({"service":"s1","address":"10.0.0.9:80","slots":9,"state":"ready","sequence":4,"born":"x"})",
  };
  for (const std::string& body : cases) {
    INFO(body);
    common::Findings findings;
    CHECK_FALSE(platform::DecodeHeartbeat("i-1", body, findings));
    CHECK_FALSE(findings.IsEmpty());
  }
}

TEST_CASE("A leave needs no body", "[platform][report]")
{
  CHECK(platform::DecodeLeave("i-1", "").phase_ == target::TargetPhase::kGone);
  CHECK(platform::DecodeLeave("i-1", R"({"born":7})").bornMs_ == 7);
}

TEST_CASE("The platform's bounds are read by name", "[platform][bounds]")
{
  common::Findings findings;
  const platform::PlatformBounds bounds = platform::ParseBounds(
    { "grace-period-s=4.5", "retry-budget-ratio=0.3", "seed-lag-s=x", "retry-budget-slack=12" },
    findings);
  CHECK(findings.IsEmpty());
  CHECK(bounds.gracePeriod_ == 4500ms);
  CHECK(bounds.retryBudgetRatio_ == 0.3);
  CHECK(bounds.retryBudgetSlack_ == 12);
  CHECK(bounds.retryBudgetWindow_ == 10s);
  platform::ParseBounds({ "grace-period-s=soon", "budget-window-s", "retry-budget-ratio=-1" },
                        findings);
  CHECK(findings.All().size() == 3);
}
