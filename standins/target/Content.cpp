#include "standins/target/Content.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <xxhash.h>

namespace dandelionstand::standins {

namespace {

constexpr std::uint64_t kLetters = 26;
// Coprime to kLetters, which gives the pattern a long period.
constexpr std::uint64_t kRowBytes = 997;
const std::string kRangeUnit = "bytes=";

bool ParseNumber(const std::string& aText, std::uint64_t& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aNumber);
  return error == std::errc() && stop == end;
}

} // namespace

Content::Content(std::string aIdentity,
                 std::uint64_t aBytes,
                 std::uint64_t aVersion,
                 Filler aFiller)
  : identity_(std::move(aIdentity))
  , size_(std::max<std::uint64_t>(aBytes, 2 * (identity_.size() + 1)))
  , version_(aVersion)
  , filler_(aFiller)
{
}

std::string Content::StrongEtag() const
{
  const std::uint64_t hash = XXH3_64bits(identity_.data(), identity_.size());
  const char* const kind = filler_ == Filler::kPosition ? "p" : "c";
  return "\"" + std::to_string(version_) + kind + std::to_string(size_) + "-" +
         std::to_string(hash) + "\"";
}

std::string Content::Read(std::uint64_t aOffset, std::uint64_t aLength) const
{
  const std::uint64_t length = std::min(aLength, size_ - std::min(aOffset, size_));
  const std::string head = identity_ + "\n";
  const std::string tail = "\n" + identity_;
  const std::uint64_t tailStart = size_ - tail.size();
  std::string bytes(length, '\0');
  for (std::uint64_t index = 0; index < length; ++index) {
    const std::uint64_t offset = aOffset + index;
    if (offset < head.size()) {
      bytes[index] = head[offset];
    } else if (offset >= tailStart) {
      bytes[index] = tail[offset - tailStart];
    } else {
      bytes[index] = FillerAt(offset);
    }
  }
  return bytes;
}

char Content::FillerAt(std::uint64_t aOffset) const
{
  if (filler_ == Filler::kPosition) {
    return static_cast<char>('a' + (aOffset + aOffset / kRowBytes + version_) % kLetters);
  }
  return version_ == 1 ? '.' : static_cast<char>('a' + version_ % kLetters);
}

std::optional<ByteRange> ParseRange(const std::string& aText, std::uint64_t aSize)
{
  const std::size_t dash = aText.find('-');
  if (!aText.starts_with(kRangeUnit) || dash == std::string::npos || aSize == 0) {
    return std::nullopt;
  }
  const std::string firstText = aText.substr(kRangeUnit.size(), dash - kRangeUnit.size());
  const std::string lastText = aText.substr(dash + 1);
  ByteRange range{ 0, aSize - 1 };
  if (firstText.empty()) {
    std::uint64_t count = 0;
    if (!ParseNumber(lastText, count) || count == 0) {
      return std::nullopt;
    }
    range.first_ = aSize - std::min(count, aSize);
    return range;
  }
  if (!ParseNumber(firstText, range.first_) || range.first_ >= aSize) {
    return std::nullopt;
  }
  if (!lastText.empty() && (!ParseNumber(lastText, range.last_) || range.last_ < range.first_)) {
    return std::nullopt;
  }
  range.last_ = std::min(range.last_, aSize - 1);
  return range;
}

} // namespace dandelionstand::standins
