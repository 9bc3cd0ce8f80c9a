#include "dandelionstand/load/Metrics.h"

#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

namespace dandelionstand::load {

namespace {

std::optional<MetricSample> ParseSample(const std::string& aLine)
{
  const std::size_t space = aLine.rfind(' ');
  if (aLine.empty() || aLine.front() == '#' || space == std::string::npos || space == 0) {
    return std::nullopt;
  }
  const std::string valueText = aLine.substr(space + 1);
  char* end = nullptr;
  MetricSample sample;
  sample.value_ = std::strtod(valueText.c_str(), &end);
  if (valueText.empty() || *end != '\0') {
    return std::nullopt;
  }
  sample.name_ = aLine.substr(0, space);
  const std::size_t brace = sample.name_.find('{');
  if (brace != std::string::npos && sample.name_.back() == '}') {
    sample.labels_ = sample.name_.substr(brace + 1, sample.name_.size() - brace - 2);
    sample.name_.resize(brace);
  }
  return sample;
}

} // namespace

Metrics Metrics::Parse(const std::string& aText)
{
  Metrics metrics;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    if (std::optional<MetricSample> sample = ParseSample(line)) {
      metrics.samples_.push_back(std::move(*sample));
    }
  }
  return metrics;
}

double Metrics::Sum(const std::string& aName, const std::string& aLabels) const
{
  double sum = 0;
  for (const MetricSample& sample : samples_) {
    if (sample.name_ == aName && sample.labels_.find(aLabels) != std::string::npos) {
      sum += sample.value_;
    }
  }
  return sum;
}

} // namespace dandelionstand::load
