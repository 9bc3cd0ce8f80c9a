#include "dandelionstand/load/Schedule.h"

#include <utility>

namespace dandelionstand::load {

using common::Duration;

Schedule::Schedule(std::vector<RateStep> aSteps, std::uint64_t aMaxCalls, std::uint64_t aSeed)
  : steps_(std::move(aSteps))
  , callsLeft_(aMaxCalls)
  , random_(aSeed)
{
}

std::optional<Arrival> Schedule::Next()
{
  if (callsLeft_ == 0) {
    return std::nullopt;
  }
  while (step_ < steps_.size()) {
    const RateStep& step = steps_[step_];
    const Duration end = stepStart_ + step.length_;
    const Duration next = step.callsPerSecond_ > 0 ? last_ + DrawGap(step.callsPerSecond_) : end;
    if (next < end) {
      last_ = next;
      callsLeft_ -= 1;
      return Arrival{ next, step_ };
    }
    // A Poisson process has no memory, so each step starts a fresh gap at its own rate.
    stepStart_ = end;
    last_ = end;
    step_ += 1;
  }
  return std::nullopt;
}

Duration Schedule::Length() const
{
  Duration sum{};
  for (const RateStep& step : steps_) {
    sum += step.length_;
  }
  return sum;
}

Duration Schedule::DrawGap(double aCallsPerSecond)
{
  std::exponential_distribution<double> gap(aCallsPerSecond);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
}

} // namespace dandelionstand::load
