#include "dandelionstand/common/Counters.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace std::chrono_literals;

namespace {

bool HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("A counter is formatted with its name and labels", "[common][metrics]")
{
  Counters counters;
  counters.Add("calls_total{outcome=\"answered\"}", 3);
  CHECK(counters.ToText() == "dandelion_calls_total{outcome=\"answered\"} 3\n");
}

TEST_CASE("Latencies are formatted as cumulative buckets from 0.1 ms to 10 s", "[common][metrics]")
{
  Counters counters;
  const std::string name = "request_seconds{kind=\"browse\"}";
  counters.Observe(name, 90us);
  counters.Observe(name, 3ms);
  counters.Observe(name, 200ms);
  counters.Observe(name, 20s);
  const std::string text = counters.ToText();
  const std::string bucket = "dandelion_request_seconds_bucket{kind=\"browse\",le=";
  CHECK(HasLine(text, bucket + "\"0.0001\"} 1"));
  CHECK(HasLine(text, bucket + "\"0.0025\"} 1"));
  CHECK(HasLine(text, bucket + "\"0.005\"} 2"));
  CHECK(HasLine(text, bucket + "\"0.25\"} 3"));
  CHECK(HasLine(text, bucket + "\"10\"} 3"));
  CHECK(HasLine(text, bucket + "\"+Inf\"} 4"));
  CHECK(HasLine(text, "dandelion_request_seconds_count{kind=\"browse\"} 4"));
  CHECK(HasLine(text, "dandelion_request_seconds_sum{kind=\"browse\"} 20.20309"));
}

TEST_CASE("The buckets of a histogram without labels have only the le label", "[common][metrics]")
{
  Counters counters;
  counters.Observe("target_wait_seconds", 2ms);
  CHECK(HasLine(counters.ToText(), "dandelion_target_wait_seconds_bucket{le=\"0.0025\"} 1"));
}
