#ifndef dandelionstand_config_Compression_h
#define dandelionstand_config_Compression_h

#include <cstddef>
#include <optional>
#include <string>

namespace dandelionstand::config {

//! Longest text that Unpack returns.
constexpr std::size_t kMaxUnpackedBytes = 8'388'608;

//! The bytes with a leading tag, compressed with zstd if that makes them shorter.
std::string Pack(const std::string& aBytes);

//! The bytes that Pack was given; empty if they are damaged or longer than kMaxUnpackedBytes.
std::optional<std::string> Unpack(const std::string& aPacked);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Compression_h
