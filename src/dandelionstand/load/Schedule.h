#ifndef dandelionstand_load_Schedule_h
#define dandelionstand_load_Schedule_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace dandelionstand::load {

//! A stretch of the run with a constant mean rate.
struct RateStep
{
  double callsPerSecond_ = 0;
  common::Duration length_{};
};

//! One call that is due.
struct Arrival
{
  common::Duration sinceStart_{}; //!< Latency is counted from here, however late the call was sent.
  std::size_t step_ = 0;          //!< Index of the rate step.
};

//! The arrival times of an open-loop run: a Poisson process, fixed by the seed before any answer is
//! seen, so that a slow answer never delays or hides a later call.
class Schedule
{
public:
  Schedule(std::vector<RateStep> aSteps, std::uint64_t aMaxCalls, std::uint64_t aSeed);

  //! The next arrival; none after the last step or the last call that is allowed.
  std::optional<Arrival> Next();

  //! Sum of the lengths of all steps.
  common::Duration Length() const;

  const std::vector<RateStep>& Steps() const { return steps_; }

private:
  common::Duration DrawGap(double aCallsPerSecond);

  std::vector<RateStep> steps_;
  std::uint64_t callsLeft_;
  std::mt19937_64 random_;
  std::size_t step_ = 0;
  common::Duration stepStart_{};
  common::Duration last_{};
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Schedule_h
