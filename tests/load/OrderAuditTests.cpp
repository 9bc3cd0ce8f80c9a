#include "dandelionstand/load/OrderAudit.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;

TEST_CASE("Runs of one order at several targets add up", "[load][orders]")
{
  OrderAudit audit;
  audit.AddOutcome({ "a", Verdict::kWhole, RunState::kUnknown });
  audit.AddOutcome({ "b", Verdict::kWhole, RunState::kUnknown });
  audit.AddRuns({ "a", 1 });
  audit.AddRuns({ "b", 1 });
  CHECK(audit.FindFaults().IsEmpty());

  audit.AddRuns({ "a", 1 });
  CHECK(audit.FindFaults().ranTwice_ == std::vector<std::string>{ "a" });
  CHECK(audit.RunCount() == 3);
}

TEST_CASE("A run of an order that was only refused as not run is a fault", "[load][orders]")
{
  OrderAudit audit;
  audit.AddOutcome({ "a", Verdict::kRefused, RunState::kNotRun });
  audit.AddOutcome({ "b", Verdict::kRefused, RunState::kUnknown });
  audit.AddRuns({ "b", 1 });
  CHECK(audit.FindFaults().IsEmpty());

  audit.AddRuns({ "a", 1 });
  CHECK(audit.FindFaults().ranAfterNotRunRefusal_ == std::vector<std::string>{ "a" });
}

TEST_CASE("An order answered without a run is a fault only if the counts of every target are known",
          "[load][orders]")
{
  OrderAudit audit;
  audit.AddOutcome({ "a", Verdict::kWhole, RunState::kUnknown });
  CHECK(audit.FindFaults().answeredWithoutRun_ == std::vector<std::string>{ "a" });
  audit.MarkIncomplete();
  CHECK(audit.FindFaults().IsEmpty());
}

TEST_CASE("A repeat refused as not run is no fault if another call of the order was answered",
          "[load][orders]")
{
  OrderAudit audit;
  audit.AddOutcome({ "a", Verdict::kWhole, RunState::kUnknown });
  audit.AddOutcome({ "a", Verdict::kRefused, RunState::kNotRun });
  audit.AddRuns({ "a", 1 });
  CHECK(audit.FindFaults().IsEmpty());
  CHECK(audit.OrderCount() == 1);
}
