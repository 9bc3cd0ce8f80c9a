#ifndef dandelionstand_platform_RecordFrames_h
#define dandelionstand_platform_RecordFrames_h

#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::platform {

//! Appends a record frame, as used in append requests and read answers: a 4-byte big-endian length,
//! then the record.
void AppendFrame(std::string_view aRecord, std::string& aOut);

//! Appends the header of a read answer: the end offset of the stream and its oldest retained
//! offset, 8 bytes each, big-endian. Both count from 0.
void AppendReadHeader(std::uint64_t aEndOffset, std::uint64_t aFirstOffset, std::string& aOut);

//! Encodes a record of a keyed stream: a 1-byte key length, the key, then the value.
std::string EncodeKeyedRecord(std::string_view aKey, std::string_view aValue);
//! Reverses EncodeKeyedRecord; returns false if the record is shorter than its key.
bool DecodeKeyedRecord(std::string_view aRecord, std::string& aKey, std::string& aValue);

//! Parses the answer to a read incrementally and with bounded memory. An oversized record is
//! delivered without its data as soon as its length is known, and parsing stops there: the next
//! read starts behind it, so that it cannot block later records.
class FrameReader
{
public:
  //! aOffset is the requested offset; parsing stops once the records reach aMaxTotalBytes.
  FrameReader(common::Offset aOffset, std::size_t aMaxRecordBytes, std::size_t aMaxTotalBytes);

  //! Returns false once no more bytes are needed: the records have reached the total size, a record
  //! is oversized, or the answer is malformed.
  bool Feed(std::string_view aBytes);

  //! True if the bytes so far end at a frame boundary.
  bool IsAtFrameEnd() const { return hasHeader_ && partialField_.empty() && remainingBytes_ == 0; }
  //! True if the header is inconsistent, or a record lies beyond the end offset in the header.
  bool IsMalformed() const { return isMalformed_; }
  //! Number of records whose data was dropped because they exceed the maximum size.
  std::uint64_t OversizedCount() const { return oversizedCount_; }
  //! Oldest retained offset.
  common::Offset FirstOffset() const { return firstOffset_; }
  //! Offset of the next append.
  common::Offset EndOffset() const { return endOffset_; }

  //! Returns the complete records parsed so far and removes them from the reader.
  std::vector<Record> ExtractRecords();

private:
  void ParseHeader();
  void ParseLength();
  void FinishRecord();

  std::uint64_t nextOffset_;
  std::size_t maxRecordBytes_;
  std::size_t maxTotalBytes_;
  std::string partialField_; //!< Incomplete header or length field.
  Record record_;
  std::size_t remainingBytes_ = 0;
  bool hasHeader_ = false;
  bool isMalformed_ = false;
  bool isFinished_ = false;
  std::size_t totalBytes_ = 0;
  std::uint64_t oversizedCount_ = 0;
  common::Offset firstOffset_;
  common::Offset endOffset_;
  std::vector<Record> records_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_RecordFrames_h
