#include "dandelionstand/caller/TrafficSplit.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace dandelionstand::caller {

namespace {

std::int64_t TotalOf(const std::vector<config::SplitPart>& aParts)
{
  return std::accumulate(aParts.begin(),
                         aParts.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const auto& aPart) { return aSum + aPart.weight_; });
}

} // namespace

common::ServiceName TrafficSplit::Choose(const config::RouteName& aName,
                                         const config::Route& aRoute)
{
  if (aRoute.split_.empty()) {
    return aRoute.endpoints_;
  }
  Rotation& rotation = rotations_[aName];
  if (rotation.parts_ != aRoute.split_) {
    rotation = Begin(aRoute.split_);
  }
  for (std::size_t i = 0; i < rotation.parts_.size(); ++i) {
    rotation.credit_[i] += rotation.parts_[i].weight_;
  }
  const auto most = std::max_element(rotation.credit_.begin(), rotation.credit_.end());
  *most -= TotalOf(rotation.parts_);
  const auto index = std::distance(rotation.credit_.begin(), most);
  return rotation.parts_[static_cast<std::size_t>(index)].service_;
}

TrafficSplit::Rotation TrafficSplit::Begin(const std::vector<config::SplitPart>& aParts)
{
  Rotation rotation{ aParts, {} };
  const std::int64_t total = std::max<std::int64_t>(1, TotalOf(aParts));
  std::uniform_int_distribution<std::int64_t> phase(0, total - 1);
  for (const config::SplitPart& part : aParts) {
    // A part without weight must never be the first by its credit.
    rotation.credit_.push_back(part.weight_ == 0 ? -total : phase(random_));
  }
  return rotation;
}

} // namespace dandelionstand::caller
