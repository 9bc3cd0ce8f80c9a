#ifndef dandelionstand_load_LatencyHistogram_h
#define dandelionstand_load_LatencyHistogram_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dandelionstand::load {

//! A bin of the histogram that holds something.
struct LatencyBin
{
  common::Duration lower_{};
  common::Duration upper_{};
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

  void Add(common::Duration aLatency);
  void Append(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return count_; }
  common::Duration Max() const { return max_; }
  //! The upper edge of the bin in which the quantile lies, at most Max(); 0 if nothing was added.
  common::Duration Quantile(double aQuantile) const;
  //! The bins that hold something, in order.
  std::vector<LatencyBin> Bins() const;

private:
  struct Impl;

  std::unique_ptr<Impl> impl_;
  std::uint64_t count_ = 0;
  common::Duration max_{};
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_LatencyHistogram_h
