#include "dandelionstand/config/Compression.h"

#include <zstd.h>

namespace dandelionstand::config {

namespace {

constexpr char kPlainTag = 'p';
constexpr char kZstdTag = 'z';
constexpr int kLevel = 9;

//! The length that a frame claims, if it is one that may be unpacked.
std::optional<std::size_t> ClaimedLength(const std::string& aPacked)
{
  const unsigned long long length =
    ZSTD_getFrameContentSize(aPacked.data() + 1, aPacked.size() - 1);
  const bool isKnown = length != ZSTD_CONTENTSIZE_UNKNOWN && length != ZSTD_CONTENTSIZE_ERROR;
  if (!isKnown || length > kMaxUnpackedBytes) {
    return std::nullopt;
  }
  return length;
}

std::optional<std::string> Decompress(const std::string& aPacked)
{
  const std::optional<std::size_t> length = ClaimedLength(aPacked);
  if (!length) {
    return std::nullopt;
  }
  std::string bytes(*length, '\0');
  const std::size_t written =
    ZSTD_decompress(bytes.data(), bytes.size(), aPacked.data() + 1, aPacked.size() - 1);
  if (ZSTD_isError(written) != 0 || written != *length) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace

std::string Pack(const std::string& aBytes)
{
  std::string packed(1 + ZSTD_compressBound(aBytes.size()), kZstdTag);
  const std::size_t length =
    ZSTD_compress(packed.data() + 1, packed.size() - 1, aBytes.data(), aBytes.size(), kLevel);
  if (ZSTD_isError(length) != 0 || length >= aBytes.size()) {
    return kPlainTag + aBytes;
  }
  packed.resize(1 + length);
  return packed;
}

std::optional<std::string> Unpack(const std::string& aPacked)
{
  if (aPacked.empty()) {
    return std::nullopt;
  }
  if (aPacked[0] == kZstdTag) {
    return Decompress(aPacked);
  }
  const bool isPlain = aPacked[0] == kPlainTag && aPacked.size() - 1 <= kMaxUnpackedBytes;
  return isPlain ? std::make_optional(aPacked.substr(1)) : std::nullopt;
}

} // namespace dandelionstand::config
