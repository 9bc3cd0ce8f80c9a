#ifndef dandelionstand_load_ProcessUsage_h
#define dandelionstand_load_ProcessUsage_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! What a process has used.
struct ProcessUsage
{
  common::Duration cpu_{};          //!< User and system time since its start.
  std::uint64_t residentBytes_ = 0; //!< Memory that it holds now.
};

//! Parses the text of /proc/<pid>/stat; none if it is malformed. aTicksPerSecond and aPageBytes are
//! the system's units.
std::optional<ProcessUsage> ParseProcessStat(const std::string& aText,
                                             std::uint64_t aTicksPerSecond,
                                             std::uint64_t aPageBytes);

//! Parses the text of /proc/<pid>/task/<tid>/schedstat: the thread's time on a processor.
std::optional<common::Duration> ParseThreadTime(const std::string& aText);

//! Reads the usage of a process; none if it has gone.
std::optional<ProcessUsage> ReadProcessUsage(int aPid);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ProcessUsage_h
