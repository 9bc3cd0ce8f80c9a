#include "dandelionstand/caller/RetryBudget.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

constexpr double kPercent = 100.0;
constexpr double kRefillPerSecond = 1.0;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void RetryBudget::AddCall(common::TimePoint aNow)
{
  Refill(aNow);
  Add(percent_ / kPercent);
}

bool RetryBudget::Spend(common::TimePoint aNow)
{
  Refill(aNow);
  if (retries_ < 1.0) {
    return false;
  }
  retries_ -= 1.0;
  return true;
}

void RetryBudget::Refill(common::TimePoint aNow)
{
  const common::Duration age = aNow - refilledAt_;
  refilledAt_ = aNow;
  Add(static_cast<double>(age.count()) / kMicrosecondsPerSecond * kRefillPerSecond);
}

void RetryBudget::Add(double aRetries)
{
  retries_ = std::clamp(retries_ + aRetries, 0.0, kReserve);
}

} // namespace dandelionstand::caller
