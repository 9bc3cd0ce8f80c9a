#include "dandelionstand/load/LinearFit.h"
#include "dandelionstand/load/Report.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;
using dandelionstand::config::TrafficClass;
using namespace std::chrono_literals;

namespace {

CallResult MakeResult(CallPath aCallPath, dandelionstand::common::Duration aLatency)
{
  return { { aCallPath, 0, TrafficClass::kLookup }, Verdict::kWhole, {}, aLatency, 1 };
}

RunResults MakeResults()
{
  RunResults results;
  results.steps_ = { { 500, 10s } };
  results.tally_.Add(MakeResult(CallPath::kMesh, 5ms));
  results.tally_.Add(MakeResult(CallPath::kDirect, 2ms));
  return results;
}

} // namespace

TEST_CASE("The report shows the latency that the mesh adds", "[load][report]")
{
  const Table added = MakeAddedLatencyTable(MakeResults());
  REQUIRE(added.rows_.size() == 1);
  CHECK(added.rows_.front() ==
        std::vector<std::string>{ "500", "lookup", "3.000", "3.000", "3.000" });
  CHECK(MakeTextReport(MakeResults()).find("No promise was broken.") != std::string::npos);
}

TEST_CASE("The report says that a promise was broken", "[load][report]")
{
  RunResults results = MakeResults();
  SECTION("by a wrong answer")
  {
    CallResult result = MakeResult(CallPath::kMesh, 1ms);
    result.verdict_ = Verdict::kTruncated;
    results.tally_.Add(result);
  }
  SECTION("by an order that ran twice")
  {
    results.orders_.AddOutcome({ "a", Verdict::kWhole, RunState::kUnknown });
    results.orders_.AddRuns({ "a", 2 });
  }
  CHECK(HasBrokenPromise(results));
  CHECK(MakeTextReport(results).find("A promise was broken.") != std::string::npos);
}

TEST_CASE("Refusals are counted by run state and reason", "[load][report]")
{
  RunResults results = MakeResults();
  CallResult refusal = MakeResult(CallPath::kMesh, 1ms);
  refusal.verdict_ = Verdict::kRefused;
  refusal.refusal_ = { RunState::kNotRun, "overload" };
  results.tally_.Add(refusal);
  results.tally_.Add(refusal);
  CHECK(MakeRefusalTable(results).rows_ ==
        std::vector<std::vector<std::string>>{ { "not-run", "overload", "2" } });
  CHECK_FALSE(HasBrokenPromise(results));
}

TEST_CASE("Cells are quoted in CSV and aligned in text", "[load][report]")
{
  const Table table{ { "a", "b" }, { { "x,y", "say \"z\"" } } };
  CHECK(ToCsv(table) == "a,b\n\"x,y\",\"say \"\"z\"\"\"\n");
  CHECK(ToText(table) == "a    b\nx,y  say \"z\"\n");
}

TEST_CASE("A plot escapes its texts and omits non-positive values on a logarithmic axis",
          "[load][report]")
{
  const Plot plot{ "a < b",
                   { "x", AxisScale::kLinear },
                   { "y", AxisScale::kLogarithmic },
                   { { "s", { { 1, 0 }, { 2, 10 }, { 3, 100 } } } } };
  const std::string svg = ToSvg(plot);
  CHECK(svg.find("a &lt; b") != std::string::npos);
  CHECK(svg.find("nan") == std::string::npos);
  CHECK(svg.find("inf") == std::string::npos);
}

TEST_CASE("A line is fitted with its slope, standard error and range", "[load][fit]")
{
  const LinearFit exact = FitLine({ { 1, 5 }, { 2, 7 }, { 3, 9 } });
  CHECK(exact.slope_ == Approx(2));
  CHECK(exact.intercept_ == Approx(3));
  CHECK(exact.slopeError_ == Approx(0).margin(1e-9));
  CHECK(exact.ExtrapolationFactor(30) == Approx(10));

  const LinearFit noisy = FitLine({ { 1, 5 }, { 2, 8 }, { 3, 9 } });
  CHECK(noisy.slopeError_ > 0);
  CHECK(FitLine({ { 4, 1 }, { 4, 3 } }).slope_ == 0);
  CHECK(FitLine({}).slope_ == 0);
}
