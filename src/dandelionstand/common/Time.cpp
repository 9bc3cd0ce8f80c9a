#include "dandelionstand/common/Time.h"

#include <ctime>

namespace dandelionstand::common {

TimePoint Now()
{
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

TimePoint BootNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

std::uint64_t WallClockMs()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::uint64_t NewIncarnationNumber()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(sinceEpoch).count());
}

} // namespace dandelionstand::common
