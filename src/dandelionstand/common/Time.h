#ifndef dandelionstand_common_Time_h
#define dandelionstand_common_Time_h

#include <chrono>
#include <cstdint>

namespace dandelionstand::common {

using Duration = std::chrono::microseconds;

//! Clock type of monotonic time points. It has no now(): the decision logic receives the current
//! time with each event, and only the callers of Now() read the system's clock.
struct MonotonicClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using TimePoint = MonotonicClock::time_point;

//! Reads the system's monotonic clock.
TimePoint Now();

//! Reads a monotonic clock that also counts the time during which the machine is suspended. Its
//! points are comparable only with each other.
TimePoint BootNow();

//! Returns the milliseconds since the Unix epoch, for records that other instances read.
std::uint64_t WallClockMs();

//! Returns the wall-clock time in microseconds, so that a later run of a process gets a greater
//! number.
std::uint64_t NewIncarnationNumber();

} // namespace dandelionstand::common

#endif // dandelionstand_common_Time_h
