#ifndef dandelionstand_load_EventLines_h
#define dandelionstand_load_EventLines_h

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! The value of a key in one key=value line, without quotes; none if the key is absent.
std::optional<std::string> FindField(const std::string& aLine, const std::string& aKey);

//! Milliseconds since the Unix epoch of a local time like 2026-03-04T05:06:07.089, as event lines
//! carry it; none if it is malformed.
std::optional<std::uint64_t> ParseEventTime(const std::string& aTime);

} // namespace dandelionstand::load

#endif // dandelionstand_load_EventLines_h
