#ifndef dandelionstand_load_Schedule_h
#define dandelionstand_load_Schedule_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace dandelionstand::load {

//! A period of the run with a constant mean rate.
struct RateStep
{
  double callsPerSecond_ = 0;
  common::Duration duration_{};
};

//! The scheduled time of one call.
struct Arrival
{
  //! Time since the start of the run. Latency is measured from here, even if the call is sent
  //! later.
  common::Duration timeSinceStart_{};
  std::size_t step_ = 0; //!< Index of the rate step.
};

//! The arrival times of an open-loop run, drawn from a Poisson process. They depend only on the
//! seed and not on the answers, so a slow answer neither delays nor suppresses later calls.
class Schedule
{
public:
  Schedule(std::vector<RateStep> aSteps, std::uint64_t aMaxCalls, std::uint64_t aSeed);

  //! The next arrival; std::nullopt after the last step or once the maximum number of calls is
  //! reached.
  std::optional<Arrival> Next();

  //! Sum of the durations of all steps.
  common::Duration TotalDuration() const;

  const std::vector<RateStep>& Steps() const { return steps_; }

private:
  common::Duration DrawInterarrivalTime(double aCallsPerSecond);

  std::vector<RateStep> steps_;
  std::uint64_t remainingCalls_;
  std::mt19937_64 random_;
  std::size_t step_ = 0;
  common::Duration stepStart_{};
  common::Duration intervalStart_{}; //!< The last arrival or the start of the current step.
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Schedule_h
