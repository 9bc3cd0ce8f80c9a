#ifndef dandelionstand_load_Metrics_h
#define dandelionstand_load_Metrics_h

#include <string>
#include <vector>

namespace dandelionstand::load {

//! One sample line of the Prometheus text exposition format.
struct MetricSample
{
  std::string name_;   //!< Without labels.
  std::string labels_; //!< As written between the braces; empty if there are none.
  double value_ = 0;
};

//! The metrics of one process at one point in time.
class Metrics
{
public:
  //! Parses the text exposition format; skips comments and malformed lines.
  static Metrics Parse(const std::string& aText);

  //! Sum of the values of all samples named aName whose label text contains the substring aLabels.
  double Sum(const std::string& aName, const std::string& aLabels = "") const;

  const std::vector<MetricSample>& All() const { return samples_; }

private:
  std::vector<MetricSample> samples_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Metrics_h
