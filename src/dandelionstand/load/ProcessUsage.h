#ifndef dandelionstand_load_ProcessUsage_h
#define dandelionstand_load_ProcessUsage_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! Resource usage of a process.
struct ProcessUsage
{
  common::Duration cpuTime_{};      //!< User and system time since the process started.
  std::uint64_t residentBytes_ = 0; //!< Current resident set size.
};

//! Parses the text of /proc/<pid>/stat; none if it is malformed. aTicksPerSecond and aPageBytes are
//! the clock tick rate and page size of the system.
std::optional<ProcessUsage> ParseProcessStat(const std::string& aText,
                                             std::uint64_t aTicksPerSecond,
                                             std::uint64_t aPageBytes);

//! Parses the CPU time of a thread from the text of /proc/<pid>/task/<tid>/schedstat; none if it is
//! malformed.
std::optional<common::Duration> ParseThreadCpuTime(const std::string& aText);

//! Reads the usage of a process; none if it does not exist.
std::optional<ProcessUsage> ReadProcessUsage(int aPid);

} // namespace dandelionstand::load

#endif // dandelionstand_load_ProcessUsage_h
