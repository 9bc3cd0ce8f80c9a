#ifndef dandelionstand_common_LatencyHistogram_h
#define dandelionstand_common_LatencyHistogram_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dandelionstand::common {

//! A bin of the histogram that holds something.
struct LatencyBin
{
  Duration lower_{};
  Duration upper_{};
  std::uint64_t count_ = 0;
};

//! Latencies on a logarithmic axis from 1 us to 100 s, 100 bins a decade, so that every quantile is
//! exact to 2.4%.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);

  void Add(Duration aLatency);
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return count_; }
  Duration Sum() const { return sum_; }
  Duration Max() const { return max_; }
  //! The upper edge of the bin in which the quantile lies, at most Max(); 0 if nothing was added.
  Duration Quantile(double aQuantile) const;
  //! The bins that hold something, in order.
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
