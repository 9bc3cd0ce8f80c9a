#include "dandelionstand/platform/RecordFrames.h"

#include <limits>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 2 * kOffsetBytes;
//! Offsets start at 0 in the log service and at 1 in common::Offset.
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

void AppendReadHeader(std::uint64_t aEndOffset, std::uint64_t aFirstOffset, std::string& aOut)
{
  AppendBigEndian(aEndOffset, kOffsetBytes, aOut);
  AppendBigEndian(aFirstOffset, kOffsetBytes, aOut);
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
  const std::size_t keyBytes = static_cast<unsigned char>(aRecord.front());
  if (aRecord.size() < 1 + keyBytes) {
    return false;
  }
  aKey = aRecord.substr(1, keyBytes);
  aValue = aRecord.substr(1 + keyBytes);
  return true;
}

FrameReader::FrameReader(common::Offset aOffset,
                         std::size_t aMaxRecordBytes,
                         std::size_t aMaxTotalBytes)
  : nextOffset_(aOffset.Get())
  , maxRecordBytes_(aMaxRecordBytes)
  , maxTotalBytes_(aMaxTotalBytes)
{
}

bool FrameReader::Feed(std::string_view aBytes)
{
  while (!aBytes.empty() && !isMalformed_ && !isFinished_) {
    if (remainingBytes_ > 0) {
      const std::string_view piece = aBytes.substr(0, remainingBytes_);
      aBytes.remove_prefix(piece.size());
      record_.data_ += piece;
      remainingBytes_ -= piece.size();
      if (remainingBytes_ == 0) {
        FinishRecord();
      }
      continue;
    }
    const std::size_t fieldBytes = hasHeader_ ? kLengthBytes : kHeaderBytes;
    const std::string_view piece = aBytes.substr(0, fieldBytes - partialField_.size());
    aBytes.remove_prefix(piece.size());
    partialField_ += piece;
    if (partialField_.size() < fieldBytes) {
      continue;
    }
    if (hasHeader_) {
      ParseLength();
    } else {
      ParseHeader();
    }
  }
  return !isMalformed_ && !isFinished_;
}

void FrameReader::ParseHeader()
{
  const std::string_view header = partialField_;
  const std::uint64_t end = ReadBigEndian(header.substr(0, kOffsetBytes));
  const std::uint64_t first = ReadBigEndian(header.substr(kOffsetBytes));
  partialField_.clear();
  hasHeader_ = true;
  // The maximum value is invalid, since adding kFirstOffset would overflow.
  isMalformed_ = first > end || end == std::numeric_limits<std::uint64_t>::max();
  firstOffset_ = common::Offset(first + kFirstOffset);
  endOffset_ = common::Offset(end + kFirstOffset);
}

void FrameReader::ParseLength()
{
  remainingBytes_ = ReadBigEndian(partialField_);
  partialField_.clear();
  record_.offset_ = common::Offset(nextOffset_);
  isMalformed_ = record_.offset_ >= endOffset_;
  if (isMalformed_) {
    return;
  }
  if (remainingBytes_ > maxRecordBytes_) {
    ++oversizedCount_;
    isFinished_ = true;
    remainingBytes_ = 0;
  }
  if (remainingBytes_ == 0) {
    FinishRecord();
  }
}

void FrameReader::FinishRecord()
{
  ++nextOffset_;
  totalBytes_ += kLengthBytes + record_.data_.size();
  isFinished_ = isFinished_ || totalBytes_ >= maxTotalBytes_;
  records_.push_back(std::exchange(record_, {}));
}

std::vector<Record> FrameReader::ExtractRecords()
{
  return std::exchange(records_, {});
}

} // namespace dandelionstand::platform
