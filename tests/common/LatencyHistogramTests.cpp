#include "dandelionstand/common/LatencyHistogram.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using dandelionstand::common::Duration;
using namespace std::chrono_literals;

namespace {

constexpr double kRelativeError = 0.024;

double Us(Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

} // namespace

TEST_CASE("The error of a quantile is at most the width of a bin", "[common][histogram]")
{
  LatencyHistogram histogram;
  for (int us = 1; us <= 10'000; ++us) {
    histogram.Add(Duration(us));
  }
  CHECK(Us(histogram.Quantile(0.5)) == Approx(5'000).epsilon(kRelativeError));
  CHECK(Us(histogram.Quantile(0.99)) == Approx(9'900).epsilon(kRelativeError));
  CHECK(histogram.Quantile(1.0) == 10ms);
  CHECK(histogram.Max() == 10ms);
  CHECK(histogram.Count() == 10'000);
}

TEST_CASE("Latencies outside the axis are counted in its first and last bins",
          "[common][histogram]")
{
  LatencyHistogram histogram;
  histogram.Add(Duration(0));
  histogram.Add(200s);
  CHECK(histogram.Bins().size() == 2);
  CHECK(histogram.Max() == 200s);
}

TEST_CASE("Quantiles of an empty histogram are zero", "[common][histogram]")
{
  CHECK(LatencyHistogram().Quantile(0.99) == 0us);
}

TEST_CASE("Merging a histogram adds up counts and keeps the larger maximum", "[common][histogram]")
{
  LatencyHistogram slow;
  slow.Add(80ms);
  LatencyHistogram sum;
  sum.Add(1ms);
  sum.Merge(slow);
  const LatencyHistogram copy = sum;
  CHECK(copy.Count() == 2);
  CHECK(copy.Max() == 80ms);
  CHECK(Us(copy.Quantile(0.5)) == Approx(1'000).epsilon(kRelativeError));
}
