#include "dandelionstand/common/Counters.h"

#include <array>
#include <cstdio>

namespace dandelionstand::common {

namespace {

using namespace std::chrono_literals;

//! Upper bounds of the histogram buckets on the metrics endpoint: from the latency that the mesh
//! adds to a call (0.1 ms) to the longest deadline in use (10 s).
constexpr std::array<Duration, 16> kBucketBounds = { 100us, 250us,  500us, 1ms,   2500us, 5ms,
                                                     10ms,  25ms,   50ms,  100ms, 250ms,  500ms,
                                                     1s,    2500ms, 5s,    10s };
constexpr double kMicrosecondsPerSecond = 1e6;

std::string SecondsText(Duration aDuration)
{
  constexpr std::size_t kSize = 32;
  char text[kSize];
  const int length = std::snprintf(
    text, sizeof(text), "%.10g", static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond);
  return { text, static_cast<std::size_t>(length) };
}

//! A metric name split from its labels: `name{a="b"}` gives `name` and `a="b"`.
struct LabelledName
{
  std::string name_;
  std::string labels_;
};

LabelledName SplitName(const std::string& aName)
{
  const auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return { aName, "" };
  }
  return { aName.substr(0, brace), aName.substr(brace + 1, aName.size() - brace - 2) };
}

std::string MetricLine(const std::string& aName,
                       const std::string& aLabels,
                       const std::string& aValue)
{
  const std::string labels = aLabels.empty() ? "" : "{" + aLabels + "}";
  return "dandelion_" + aName + labels + " " + aValue + "\n";
}

std::string HistogramText(const std::string& aName, const LatencyHistogram& aLatencies)
{
  const LabelledName name = SplitName(aName);
  const std::string bucketLabels = name.labels_.empty() ? "" : name.labels_ + ",";
  const std::vector<LatencyBin> bins = aLatencies.Bins();
  std::string text;
  std::uint64_t count = 0;
  auto bin = bins.begin();
  for (const Duration bound : kBucketBounds) {
    while (bin != bins.end() && bin->upper_ <= bound) {
      count += (bin++)->count_;
    }
    text += MetricLine(name.name_ + "_bucket",
                       bucketLabels + "le=\"" + SecondsText(bound) + "\"",
                       std::to_string(count));
  }
  const std::string total = std::to_string(aLatencies.Count());
  text += MetricLine(name.name_ + "_bucket", bucketLabels + "le=\"+Inf\"", total);
  text += MetricLine(name.name_ + "_sum", name.labels_, SecondsText(aLatencies.Sum()));
  return text + MetricLine(name.name_ + "_count", name.labels_, total);
}

} // namespace

std::uint64_t Counters::Get(const std::string& aName) const
{
  const auto found = values_.find(aName);
  return found == values_.end() ? 0 : found->second;
}

std::string Counters::ToText() const
{
  std::string text;
  for (const auto& [name, value] : values_) {
    text += "dandelion_" + name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, latencies] : latencies_) {
    text += HistogramText(name, latencies);
  }
  return text;
}

} // namespace dandelionstand::common
