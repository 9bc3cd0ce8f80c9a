#include "dandelionstand/target/IngressQueue.h"

#include <algorithm>

namespace dandelionstand::target {

namespace {

//! Bytes on their way, as a time on the link: more than the round trip to another region of the
//! users' sites, 24 ms, so that the link is not idle between grants.
constexpr common::Duration kWindow = std::chrono::milliseconds(50);
constexpr std::size_t kMinWindowBytes = 16UL * 1024;
constexpr std::size_t kUnlimitedWindowBytes = 4UL * 1024 * 1024;
//! Smaller pieces are not worth a message, except the last one of a body.
constexpr std::size_t kMinGrantBytes = 8UL * 1024;
//! Granted bytes of an upload that sends nothing for this long do not delay others.
constexpr common::Duration kStallTimeout = std::chrono::milliseconds(300);
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

std::size_t WindowBytes(std::optional<std::uint64_t> aBytesPerSecond)
{
  if (!aBytesPerSecond) {
    return kUnlimitedWindowBytes;
  }
  const std::uint64_t bytes =
    *aBytesPerSecond * static_cast<std::uint64_t>(kWindow.count()) / kMicrosecondsPerSecond;
  return std::max<std::size_t>(kMinWindowBytes, bytes);
}

} // namespace

IngressQueue::IngressQueue(std::optional<std::uint64_t> aBytesPerSecond)
  : bytesPerSecond_(aBytesPerSecond)
  , windowBytes_(WindowBytes(aBytesPerSecond))
{
}

void IngressQueue::Add(const AttemptKey& aKey, std::size_t aBytes, common::TimePoint aNow)
{
  uploads_.push_back({ aKey, aBytes, 0, aNow });
}

void IngressQueue::OnReceived(const AttemptKey& aKey, std::size_t aBytes, common::TimePoint aNow)
{
  for (Upload& upload : uploads_) {
    if (upload.key_ == aKey) {
      upload.grantedBytes_ -= std::min(upload.grantedBytes_, aBytes);
      upload.lastProgressAt_ = aNow;
    }
  }
}

void IngressQueue::Remove(const AttemptKey& aKey)
{
  std::erase_if(uploads_, [&](const Upload& aUpload) { return aUpload.key_ == aKey; });
}

std::vector<IngressQueue::Grant> IngressQueue::TakeGrants(common::TimePoint aNow)
{
  std::vector<Grant> grants;
  std::size_t onTheirWay = BytesOnTheirWay(aNow);
  for (Upload& upload : uploads_) {
    const std::size_t room = windowBytes_ - std::min(windowBytes_, onTheirWay);
    const std::size_t bytes = std::min(upload.ungrantedBytes_, room);
    if (bytes == 0 || (bytes < kMinGrantBytes && bytes < upload.ungrantedBytes_)) {
      continue;
    }
    if (upload.grantedBytes_ == 0) {
      upload.lastProgressAt_ = aNow;
    }
    upload.ungrantedBytes_ -= bytes;
    upload.grantedBytes_ += bytes;
    onTheirWay += bytes;
    grants.push_back({ upload.key_, bytes });
  }
  return grants;
}

common::Duration IngressQueue::TimeToReceive(std::size_t aBytes) const
{
  if (!bytesPerSecond_) {
    return {};
  }
  std::size_t bytes = aBytes;
  for (const Upload& upload : uploads_) {
    bytes += upload.ungrantedBytes_ + upload.grantedBytes_;
  }
  return common::Duration(bytes * kMicrosecondsPerSecond / *bytesPerSecond_);
}

std::size_t IngressQueue::BytesOnTheirWay(common::TimePoint aNow) const
{
  std::size_t bytes = 0;
  for (const Upload& upload : uploads_) {
    if (aNow - upload.lastProgressAt_ < kStallTimeout) {
      bytes += upload.grantedBytes_;
    }
  }
  return bytes;
}

} // namespace dandelionstand::target
