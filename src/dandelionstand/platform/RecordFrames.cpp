#include "dandelionstand/platform/RecordFrames.h"

#include <limits>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = 2 * kOffsetBytes;
//! The service counts offsets from 0, the product from 1.
constexpr std::uint64_t kFirstOffset = 1;
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

void AppendFrame(std::string_view aRecord, std::string& aOut)
{
  AppendBigEndian(aRecord.size(), kLengthBytes, aOut);
  aOut += aRecord;
}

void AppendReadHeader(std::uint64_t aEnd, std::uint64_t aFirst, std::string& aOut)
{
  AppendBigEndian(aEnd, kOffsetBytes, aOut);
  AppendBigEndian(aFirst, kOffsetBytes, aOut);
}

std::string EncodeKeyedRecord(std::string_view aKey, std::string_view aValue)
{
  std::string record(1, static_cast<char>(aKey.size()));
  record += aKey;
  record += aValue;
  return record;
}

bool DecodeKeyedRecord(std::string_view aRecord, std::string& aKey, std::string& aValue)
{
  if (aRecord.empty()) {
    return false;
  }
  const std::size_t size = static_cast<unsigned char>(aRecord.front());
  if (aRecord.size() < 1 + size) {
    return false;
  }
  aKey = aRecord.substr(1, size);
  aValue = aRecord.substr(1 + size);
  return true;
}

FrameReader::FrameReader(common::Offset aFrom,
                         std::size_t aMaxRecordBytes,
                         std::size_t aMaxTotalBytes)
  : nextOffset_(aFrom.Get())
  , maxRecordBytes_(aMaxRecordBytes)
  , maxTotalBytes_(aMaxTotalBytes)
{
}

bool FrameReader::Feed(std::string_view aBytes)
{
  while (!aBytes.empty() && !isMalformed_ && !isFull_) {
    if (bytesLeft_ > 0) {
      const std::string_view piece = aBytes.substr(0, bytesLeft_);
      aBytes.remove_prefix(piece.size());
      record_.data_ += piece;
      bytesLeft_ -= piece.size();
      if (bytesLeft_ == 0) {
        EndRecord();
      }
      continue;
    }
    const std::size_t whole = hasHead_ ? kLengthBytes : kHeadBytes;
    const std::string_view piece = aBytes.substr(0, whole - head_.size());
    aBytes.remove_prefix(piece.size());
    head_ += piece;
    if (head_.size() < whole) {
      continue;
    }
    if (hasHead_) {
      ReadLength();
    } else {
      ReadHead();
    }
  }
  return !isMalformed_ && !isFull_;
}

void FrameReader::ReadHead()
{
  const std::string_view head = head_;
  const std::uint64_t end = ReadBigEndian(head.substr(0, kOffsetBytes));
  const std::uint64_t first = ReadBigEndian(head.substr(kOffsetBytes));
  head_.clear();
  hasHead_ = true;
  // The greatest number has no successor, so it cannot be an offset either.
  isMalformed_ = first > end || end == std::numeric_limits<std::uint64_t>::max();
  first_ = common::Offset(first + kFirstOffset);
  next_ = common::Offset(end + kFirstOffset);
}

void FrameReader::ReadLength()
{
  bytesLeft_ = ReadBigEndian(head_);
  head_.clear();
  record_.offset_ = common::Offset(nextOffset_);
  isMalformed_ = record_.offset_ >= next_;
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
  ++nextOffset_;
  totalBytes_ += kLengthBytes + record_.data_.size();
  isFull_ = isFull_ || totalBytes_ >= maxTotalBytes_;
  records_.push_back(std::exchange(record_, {}));
}

std::vector<Record> FrameReader::ExtractRecords()
{
  return std::exchange(records_, {});
}

} // namespace dandelionstand::platform
