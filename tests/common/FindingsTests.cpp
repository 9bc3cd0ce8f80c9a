#include "dandelionstand/common/Findings.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;

TEST_CASE("A finding is formatted with its place before its message", "[common][findings]")
{
  CHECK(Finding{ { "daemon.json", 7, "log.address" }, "is missing" }.ToString() ==
        "daemon.json:7: log.address: is missing");
  CHECK(Finding{ {}, "is missing" }.ToString() == "is missing");
}

TEST_CASE("The text of a findings error contains every finding", "[common][findings]")
{
  Findings findings;
  findings.Add({ "a.json", 1, "x" }, "first");
  findings.Add({ "a.json", 2, "y" }, "second");
  const FindingsError error(findings);
  CHECK(std::string(error.what()) == "a.json:1: x: first\na.json:2: y: second\n");
}
