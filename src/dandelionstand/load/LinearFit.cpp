#include "dandelionstand/load/LinearFit.h"

#include <algorithm>
#include <cmath>

namespace dandelionstand::load {

namespace {

constexpr std::size_t kFittedParameters = 2;

PlotPoint MeanOf(const std::vector<PlotPoint>& aPoints)
{
  PlotPoint mean;
  for (const PlotPoint& point : aPoints) {
    mean.x_ += point.x_ / static_cast<double>(aPoints.size());
    mean.y_ += point.y_ / static_cast<double>(aPoints.size());
  }
  return mean;
}

double SlopeError(const LinearFit& aFit, const std::vector<PlotPoint>& aPoints, double aSumXx)
{
  if (aPoints.size() <= kFittedParameters) {
    return 0;
  }
  double squaredResiduals = 0;
  for (const PlotPoint& point : aPoints) {
    squaredResiduals += std::pow(point.y_ - aFit.ValueAt(point.x_), 2);
  }
  const auto degreesOfFreedom = static_cast<double>(aPoints.size() - kFittedParameters);
  return std::sqrt(squaredResiduals / degreesOfFreedom / aSumXx);
}

} // namespace

LinearFit FitLine(const std::vector<PlotPoint>& aPoints)
{
  LinearFit fit;
  if (aPoints.empty()) {
    return fit;
  }
  const PlotPoint mean = MeanOf(aPoints);
  double sumXx = 0;
  double sumXy = 0;
  fit.minX_ = aPoints.front().x_;
  fit.maxX_ = aPoints.front().x_;
  for (const PlotPoint& point : aPoints) {
    sumXx += std::pow(point.x_ - mean.x_, 2);
    sumXy += (point.x_ - mean.x_) * (point.y_ - mean.y_);
    fit.minX_ = std::min(fit.minX_, point.x_);
    fit.maxX_ = std::max(fit.maxX_, point.x_);
  }
  fit.slope_ = sumXx > 0 ? sumXy / sumXx : 0;
  fit.intercept_ = mean.y_ - fit.slope_ * mean.x_;
  fit.slopeError_ = sumXx > 0 ? SlopeError(fit, aPoints, sumXx) : 0;
  return fit;
}

} // namespace dandelionstand::load
