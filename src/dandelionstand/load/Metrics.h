#ifndef dandelionstand_load_Metrics_h
#define dandelionstand_load_Metrics_h

#include <string>
#include <vector>

namespace dandelionstand::load {

//! One line of the text exposition format.
struct MetricSample
{
  std::string name_;   //!< Without labels.
  std::string labels_; //!< As written between the braces; empty if there are none.
  double value_ = 0;
};

//! The samples of one process at one time.
class Metrics
{
public:
  //! Parses the text; lines that are comments or malformed are skipped.
  static Metrics Parse(const std::string& aText);

  //! Sum over all samples of that name whose labels contain aLabels as text.
  double Sum(const std::string& aName, const std::string& aLabels = "") const;

  const std::vector<MetricSample>& All() const { return samples_; }

private:
  std::vector<MetricSample> samples_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Metrics_h
