#ifndef dandelionstand_load_EventLines_h
#define dandelionstand_load_EventLines_h

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! The value of a key in a log line of key=value fields, without quotes; std::nullopt if the key is
//! absent.
std::optional<std::string> FindField(const std::string& aLine, const std::string& aKey);

//! Parses a local time such as 2026-03-04T05:06:07.089, the format of the time field of log lines,
//! to milliseconds since the Unix epoch; std::nullopt if it is malformed.
std::optional<std::uint64_t> ParseEventTime(const std::string& aTime);

} // namespace dandelionstand::load

#endif // dandelionstand_load_EventLines_h
