#ifndef dandelionstand_common_Counters_h
#define dandelionstand_common_Counters_h

#include "dandelionstand/common/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace dandelionstand::common {

//! Counters, gauges and latencies of one process, named as they appear on the metrics endpoint.
class Counters
{
public:
  //! Returns the counter with this name, created with value 0 on first use. The reference stays
  //! valid as long as this object. A name may include labels: `calls_total{outcome="answered"}`.
  std::uint64_t& At(const std::string& aName) { return values_[aName]; }

  void Add(const std::string& aName, std::uint64_t aAmount = 1) { values_[aName] += aAmount; }
  void Set(const std::string& aName, std::uint64_t aValue) { values_[aName] = aValue; }
  std::uint64_t Get(const std::string& aName) const;

  const std::map<std::string, std::uint64_t>& All() const { return values_; }

  //! Adds a latency to the histogram with this name; the name ends in `_seconds`, before any
  //! labels.
  void Observe(const std::string& aName, Duration aLatency) { latencies_[aName].Add(aLatency); }

  //! Formats all metrics in the Prometheus text exposition format: one `dandelion_name value` line
  //! for each counter, then the histograms.
  std::string ToText() const;

private:
  std::map<std::string, std::uint64_t> values_;
  std::map<std::string, LatencyHistogram> latencies_;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_Counters_h
