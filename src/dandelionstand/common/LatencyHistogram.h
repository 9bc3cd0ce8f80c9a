#ifndef dandelionstand_common_LatencyHistogram_h
#define dandelionstand_common_LatencyHistogram_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dandelionstand::common {

//! A bin with at least one latency.
struct LatencyBin
{
  Duration lower_{};
  Duration upper_{};
  std::uint64_t count_ = 0;
};

//! Histogram of latencies on a logarithmic axis from 1 us to 100 s. With 100 bins per decade the
//! relative error of a quantile is at most 2.4%.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);

  void Add(Duration aLatency);
  //! Adds all latencies of another histogram.
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return count_; }
  Duration Sum() const { return sum_; }
  Duration Max() const { return max_; }
  //! Returns the upper edge of the bin that contains the quantile, but at most Max(). Returns 0 if
  //! the histogram is empty.
  Duration Quantile(double aQuantile) const;
  //! Returns the bins with at least one latency, in ascending order.
  std::vector<LatencyBin> Bins() const;

private:
  struct Impl;

  std::unique_ptr<Impl> impl_;
  std::uint64_t count_ = 0;
  Duration sum_{};
  Duration max_{};
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_LatencyHistogram_h
