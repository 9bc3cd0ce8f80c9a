#include "dandelionstand/caller/TrafficSplit.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace dandelionstand::caller {

namespace {

std::int64_t TotalWeight(const std::vector<config::SplitPart>& aParts)
{
  return std::accumulate(
    aParts.begin(), aParts.end(), std::int64_t{ 0 }, [](std::int64_t aSum, const auto& aPart) {
      return aSum + static_cast<std::int64_t>(aPart.weight_);
    });
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
    rotation = StartRotation(aRoute.split_);
  }
  for (std::size_t i = 0; i < rotation.parts_.size(); ++i) {
    rotation.currentWeights_[i] += static_cast<std::int64_t>(rotation.parts_[i].weight_);
  }
  const auto highest =
    std::max_element(rotation.currentWeights_.begin(), rotation.currentWeights_.end());
  *highest -= TotalWeight(rotation.parts_);
  const auto index = std::distance(rotation.currentWeights_.begin(), highest);
  return rotation.parts_[static_cast<std::size_t>(index)].service_;
}

TrafficSplit::Rotation TrafficSplit::StartRotation(const std::vector<config::SplitPart>& aParts)
{
  Rotation rotation{ aParts, {} };
  const std::int64_t total = std::max<std::int64_t>(1, TotalWeight(aParts));
  std::uniform_int_distribution<std::int64_t> phase(0, total - 1);
  for (const config::SplitPart& part : aParts) {
    // A part of weight 0 must never have the highest current weight.
    rotation.currentWeights_.push_back(part.weight_ == 0 ? -total : phase(random_));
  }
  return rotation;
}

} // namespace dandelionstand::caller
