#include "dandelionstand/load/LoadOptions.h"
#include "dandelionstand/load/RunCounts.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;
using dandelionstand::common::Findings;
using namespace std::chrono_literals;

TEST_CASE("Valid options are converted to settings", "[load][options]")
{
  LoadOptions options;
  options.entryPoints_ = { "127.0.0.1:7000" };
  options.mix_ = "order=1";
  options.rates_ = "100:10,250.5:0.5";
  options.downloadBytes_ = 64;
  Findings findings;
  const LoadSettings settings = ParseLoadOptions(options, findings);
  REQUIRE(findings.IsEmpty());
  REQUIRE(settings.steps_.size() == 2);
  CHECK(settings.steps_[1].callsPerSecond_ == 250.5);
  CHECK(settings.steps_[1].duration_ == 500ms);
  CHECK(settings.runName_ != "");
}

TEST_CASE("All invalid options are reported at once", "[load][options]")
{
  LoadOptions options;
  options.user_ = "nobody";
  options.rates_ = "100";
  options.directTargets_ = { "127.0.0.1", "x:y" };
  options.repeatPercent_ = 101;
  options.connections_ = 0;
  Findings findings;
  ParseLoadOptions(options, findings);
  CHECK(findings.All().size() == 7);
}

TEST_CASE("Malformed rate lists are refused", "[load][options]")
{
  for (const std::string text :
       { "", "100", "100:", ":10", "100:0", "-1:10", "100:10;", "100:10,x" }) {
    INFO(text);
    CHECK_FALSE(ParseRates(text));
  }
}

TEST_CASE("Run counts are parsed only from a JSON object of unsigned numbers", "[load][orders]")
{
  const auto runs = ParseRunCounts(R"({"a": 1, "b": 2})");
  REQUIRE(runs);
  CHECK(runs->size() == 2);
  for (const std::string text : { "", "[]", R"({"a": -1})", R"({"a": "1"})", "{" }) {
    INFO(text);
    CHECK_FALSE(ParseRunCounts(text));
  }
}
