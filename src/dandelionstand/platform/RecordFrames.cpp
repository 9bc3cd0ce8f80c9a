#include "dandelionstand/platform/RecordFrames.h"

#include <limits>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = kOffsetBytes + kLengthBytes;
constexpr unsigned kBitsPerByte = 8;

void AppendBigEndian(std::uint64_t aValue, std::size_t aBytes, std::string& aOut)
{
  for (std::size_t byte = aBytes; byte > 0; --byte) {
    aOut += static_cast<char>((aValue >> (kBitsPerByte * (byte - 1))) & 0xFF);
  }
}

std::uint64_t ReadBigEndian(std::string_view aBytes)
{
  std::uint64_t value = 0;
  for (const char byte : aBytes) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return value;
}

} // namespace

void AppendFrame(const Record& aRecord, std::string& aOut)
{
  AppendBigEndian(aRecord.offset_.Get(), kOffsetBytes, aOut);
  AppendBigEndian(aRecord.data_.size(), kLengthBytes, aOut);
  aOut += aRecord.data_;
}

FrameReader::FrameReader(common::Offset aFrom,
                         std::size_t aMaxRecordBytes,
                         std::size_t aMaxTotalBytes)
  : leastOffset_(aFrom.Get())
  , maxRecordBytes_(aMaxRecordBytes)
  , maxTotalBytes_(aMaxTotalBytes)
{
}

bool FrameReader::Feed(std::string_view aBytes)
{
  while (!aBytes.empty() && !isMalformed_ && !isFull_) {
    const bool isInHead = bytesLeft_ == 0;
    const std::size_t wanted = isInHead ? kHeadBytes - head_.size() : bytesLeft_;
    const std::string_view piece = aBytes.substr(0, wanted);
    aBytes.remove_prefix(piece.size());
    if (isInHead) {
      head_ += piece;
      ReadHead();
      continue;
    }
    record_.data_ += piece;
    bytesLeft_ -= piece.size();
    if (bytesLeft_ == 0) {
      EndRecord();
    }
  }
  return !isMalformed_ && !isFull_;
}

void FrameReader::ReadHead()
{
  if (head_.size() < kHeadBytes) {
    return;
  }
  const std::string_view head = head_;
  record_.offset_ = common::Offset(ReadBigEndian(head.substr(0, kOffsetBytes)));
  bytesLeft_ = ReadBigEndian(head.substr(kOffsetBytes));
  head_.clear();
  // The greatest number has no successor, so it cannot be an offset either.
  const std::uint64_t offset = record_.offset_.Get();
  isMalformed_ = offset < leastOffset_ || offset == std::numeric_limits<std::uint64_t>::max();
  if (isMalformed_) {
    return;
  }
  if (bytesLeft_ > maxRecordBytes_) {
    ++oversizedCount_;
    isFull_ = true;
    bytesLeft_ = 0;
  }
  if (bytesLeft_ == 0) {
    EndRecord();
  }
}

void FrameReader::EndRecord()
{
  leastOffset_ = record_.offset_.Get() + 1;
  totalBytes_ += kHeadBytes + record_.data_.size();
  isFull_ = isFull_ || totalBytes_ >= maxTotalBytes_;
  records_.push_back(std::exchange(record_, {}));
}

std::vector<Record> FrameReader::TakeRecords()
{
  return std::exchange(records_, {});
}

} // namespace dandelionstand::platform
