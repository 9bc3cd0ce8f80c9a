#ifndef dandelionstand_config_Compression_h
#define dandelionstand_config_Compression_h

#include <cstddef>
#include <optional>
#include <string>

namespace dandelionstand::config {

//! Maximum size of a text that Decompress returns; bounds the memory that it allocates for a peer's
//! message.
constexpr std::size_t kMaxDecompressedBytes = 8'388'608;

//! Compresses the bytes with zstd if that makes them shorter. The first byte of the result
//! indicates whether it is compressed.
std::string Compress(const std::string& aBytes);

//! Reverses Compress. Returns none if the input is malformed or the result is longer than
//! kMaxDecompressedBytes.
std::optional<std::string> Decompress(const std::string& aCompressed);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Compression_h
