#ifndef dandelionstand_common_Time_h
#define dandelionstand_common_Time_h

#include <chrono>
#include <cstdint>

namespace dandelionstand::common {

using Duration = std::chrono::microseconds;

//! Tag clock of the decisions: monotonic, handed in with each event.
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

//! Milliseconds since the Unix epoch, for records that other instances read.
std::uint64_t WallClockMs();

//! A number that grows from one start of a process to the next: wall-clock microseconds.
std::uint64_t NewIncarnationNumber();

} // namespace dandelionstand::common

#endif // dandelionstand_common_Time_h
