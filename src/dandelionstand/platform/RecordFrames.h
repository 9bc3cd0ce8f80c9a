#ifndef dandelionstand_platform_RecordFrames_h
#define dandelionstand_platform_RecordFrames_h

#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::platform {

//! Appends a record as it goes into the body of an append, and comes in the answer to a read: 4
//! bytes of length, big-endian, and the record itself.
void AppendFrame(std::string_view aRecord, std::string& aOut);

//! Appends the head of the answer to a read: the end of the stream and the first offset that is
//! kept, 8 bytes each, big-endian. Both count from 0.
void AppendReadHeader(std::uint64_t aEnd, std::uint64_t aFirst, std::string& aOut);

//! The content of a record of a keyed stream: 1 byte of length, the key, and the value.
std::string EncodeKeyedRecord(std::string_view aKey, std::string_view aValue);
//! The reverse of EncodeKeyedRecord; false if the record is too short for its key.
bool DecodeKeyedRecord(std::string_view aRecord, std::string& aKey, std::string& aValue);

//! Takes the answer to a read apart as its bytes arrive, with bounded memory. A record that is
//! too long is delivered without its data as soon as its length is known, and ends the answer, so
//! that no record can hold up those behind it.
class FrameReader
{
public:
  //! aFrom is the offset that was asked for; aMaxTotalBytes bounds the records kept.
  FrameReader(common::Offset aFrom, std::size_t aMaxRecordBytes, std::size_t aMaxTotalBytes);

  //! False if no more bytes are wanted: enough is kept, a record is too long, or the answer is
  //! malformed.
  bool Feed(std::string_view aBytes);

  //! True if the bytes so far end with a whole frame.
  bool IsAtFrameEnd() const { return hasHead_ && head_.empty() && bytesLeft_ == 0; }
  //! True if the head cannot be true, or a record lies beyond the end that it names.
  bool IsMalformed() const { return isMalformed_; }
  //! Number of records whose data was dropped because they are too long.
  std::uint64_t OversizedCount() const { return oversizedCount_; }
  //! Oldest offset that is kept, and the one that the next append will get.
  common::Offset FirstOffset() const { return first_; }
  common::Offset EndOffset() const { return next_; }

  //! The whole records so far.
  std::vector<Record> ExtractRecords();

private:
  void ReadHead();
  void ReadLength();
  void EndRecord();

  std::uint64_t nextOffset_;
  std::size_t maxRecordBytes_;
  std::size_t maxTotalBytes_;
  std::string head_; //!< Bytes of the answer's head or of a length that is not yet whole.
  Record record_;
  std::size_t bytesLeft_ = 0;
  bool hasHead_ = false;
  bool isMalformed_ = false;
  bool isFull_ = false;
  std::size_t totalBytes_ = 0;
  std::uint64_t oversizedCount_ = 0;
  common::Offset first_;
  common::Offset next_;
  std::vector<Record> records_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_RecordFrames_h
