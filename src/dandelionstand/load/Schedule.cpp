#include "dandelionstand/load/Schedule.h"

#include <utility>

namespace dandelionstand::load {

using common::Duration;

Schedule::Schedule(std::vector<RateStep> aSteps, std::uint64_t aMaxCalls, std::uint64_t aSeed)
  : steps_(std::move(aSteps))
  , remainingCalls_(aMaxCalls)
  , random_(aSeed)
{
}

std::optional<Arrival> Schedule::Next()
{
  if (remainingCalls_ == 0) {
    return std::nullopt;
  }
  while (step_ < steps_.size()) {
    const RateStep& step = steps_[step_];
    const Duration end = stepStart_ + step.duration_;
    const Duration next =
      step.callsPerSecond_ > 0 ? intervalStart_ + DrawInterarrivalTime(step.callsPerSecond_) : end;
    if (next < end) {
      intervalStart_ = next;
      remainingCalls_ -= 1;
      return Arrival{ next, step_ };
    }
    // A Poisson process is memoryless, so each step starts a new interval at its own rate.
    stepStart_ = end;
    intervalStart_ = end;
    step_ += 1;
  }
  return std::nullopt;
}

Duration Schedule::TotalDuration() const
{
  Duration sum{};
  for (const RateStep& step : steps_) {
    sum += step.duration_;
  }
  return sum;
}

Duration Schedule::DrawInterarrivalTime(double aCallsPerSecond)
{
  std::exponential_distribution<double> distribution(aCallsPerSecond);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(random_)));
}

} // namespace dandelionstand::load
