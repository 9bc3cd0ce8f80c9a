#include "dandelionstand/caller/DownloadProgress.h"

#include <charconv>
#include <optional>

namespace dandelionstand::caller {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kPartialContent = 206;

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

bool IsStrongEtag(std::string_view aEtag)
{
  return aEtag.size() > 2 && aEtag.front() == '"' && aEtag.back() == '"';
}

} // namespace

void DownloadProgress::Begin(const AttemptHead& aHead, bool aIsContinuable)
{
  const auto length = ParseNumber(FindHeader(aHead.headers_, "Content-Length"));
  etag_ = FindHeader(aHead.headers_, "ETag");
  length_ = length.value_or(0);
  forwardedBytes_ = 0;
  canContinue_ =
    aIsContinuable && aHead.status_ == kOk && length.has_value() && IsStrongEtag(etag_);
}

bool DownloadProgress::Accepts(const AttemptHead& aHead, std::uint64_t& aSkip) const
{
  if (FindHeader(aHead.headers_, "ETag") != etag_) {
    return false;
  }
  if (aHead.status_ == kPartialContent) {
    aSkip = 0;
    const std::string expected = "bytes " + std::to_string(forwardedBytes_) + "-" +
                                 std::to_string(length_ - 1) + "/" + std::to_string(length_);
    return FindHeader(aHead.headers_, "Content-Range") == expected;
  }
  aSkip = forwardedBytes_;
  const auto length = ParseNumber(FindHeader(aHead.headers_, "Content-Length"));
  return aHead.status_ == kOk && length == length_;
}

} // namespace dandelionstand::caller
