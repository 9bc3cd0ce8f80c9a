#include "dandelionstand/config/Compression.h"

#include <zstd.h>

namespace dandelionstand::config {

namespace {

constexpr char kUncompressedTag = 'p';
constexpr char kZstdTag = 'z';
constexpr int kCompressionLevel = 9;

//! The uncompressed length that the zstd frame declares; none if unknown or over the limit.
std::optional<std::size_t> DeclaredLength(const std::string& aCompressed)
{
  const unsigned long long length =
    ZSTD_getFrameContentSize(aCompressed.data() + 1, aCompressed.size() - 1);
  const bool isKnown = length != ZSTD_CONTENTSIZE_UNKNOWN && length != ZSTD_CONTENTSIZE_ERROR;
  if (!isKnown || length > kMaxDecompressedBytes) {
    return std::nullopt;
  }
  return length;
}

std::optional<std::string> DecompressZstd(const std::string& aCompressed)
{
  const std::optional<std::size_t> length = DeclaredLength(aCompressed);
  if (!length) {
    return std::nullopt;
  }
  std::string bytes(*length, '\0');
  const std::size_t written =
    ZSTD_decompress(bytes.data(), bytes.size(), aCompressed.data() + 1, aCompressed.size() - 1);
  if (ZSTD_isError(written) != 0 || written != *length) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace

std::string Compress(const std::string& aBytes)
{
  std::string compressed(1 + ZSTD_compressBound(aBytes.size()), kZstdTag);
  const std::size_t length = ZSTD_compress(
    compressed.data() + 1, compressed.size() - 1, aBytes.data(), aBytes.size(), kCompressionLevel);
  if (ZSTD_isError(length) != 0 || length >= aBytes.size()) {
    return kUncompressedTag + aBytes;
  }
  compressed.resize(1 + length);
  return compressed;
}

std::optional<std::string> Decompress(const std::string& aCompressed)
{
  if (aCompressed.empty()) {
    return std::nullopt;
  }
  if (aCompressed[0] == kZstdTag) {
    return DecompressZstd(aCompressed);
  }
  const bool isUncompressed =
    aCompressed[0] == kUncompressedTag && aCompressed.size() - 1 <= kMaxDecompressedBytes;
  return isUncompressed ? std::make_optional(aCompressed.substr(1)) : std::nullopt;
}

} // namespace dandelionstand::config
