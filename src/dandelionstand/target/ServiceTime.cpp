#include "dandelionstand/target/ServiceTime.h"

namespace dandelionstand::target {

namespace {

//! Weights of a new sample in the moving averages, as divisors.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;

} // namespace

void ServiceTime::Add(common::Duration aSample)
{
  if (!hasSample_) {
    hasSample_ = true;
    mean_ = aSample;
    deviation_ = aSample / 2;
    return;
  }
  const common::Duration error = aSample - mean_;
  mean_ += error / kMeanDivisor;
  deviation_ += (std::chrono::abs(error) - deviation_) / kDeviationDivisor;
}

void ServiceTime::AddFinished(common::Duration aTime, bool aIsComplete)
{
  if (aIsComplete || aTime > mean_) {
    Add(aTime);
  }
}

} // namespace dandelionstand::target
