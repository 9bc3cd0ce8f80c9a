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

double SlopeError(const LinearFit& aFit, const std::vector<PlotPoint>& aPoints, double aSpreadX)
{
  if (aPoints.size() <= kFittedParameters) {
    return 0;
  }
  double residual = 0;
  for (const PlotPoint& point : aPoints) {
    residual += std::pow(point.y_ - aFit.At(point.x_), 2);
  }
  const auto freedom = static_cast<double>(aPoints.size() - kFittedParameters);
  return std::sqrt(residual / freedom / aSpreadX);
}

} // namespace

LinearFit FitLine(const std::vector<PlotPoint>& aPoints)
{
  LinearFit fit;
  if (aPoints.empty()) {
    return fit;
  }
  const PlotPoint mean = MeanOf(aPoints);
  double spreadX = 0;
  double shared = 0;
  fit.leastX_ = aPoints.front().x_;
  fit.mostX_ = aPoints.front().x_;
  for (const PlotPoint& point : aPoints) {
    spreadX += std::pow(point.x_ - mean.x_, 2);
    shared += (point.x_ - mean.x_) * (point.y_ - mean.y_);
    fit.leastX_ = std::min(fit.leastX_, point.x_);
    fit.mostX_ = std::max(fit.mostX_, point.x_);
  }
  fit.slope_ = spreadX > 0 ? shared / spreadX : 0;
  fit.intercept_ = mean.y_ - fit.slope_ * mean.x_;
  fit.slopeError_ = spreadX > 0 ? SlopeError(fit, aPoints, spreadX) : 0;
  return fit;
}

} // namespace dandelionstand::load
