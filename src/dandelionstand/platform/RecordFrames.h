#ifndef dandelionstand_platform_RecordFrames_h
#define dandelionstand_platform_RecordFrames_h

#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::platform {

//! Appends one record in the form that the log service answers with: 8 bytes of offset and 4 bytes
//! of length, both big-endian, and the record itself.
void AppendFrame(const Record& aRecord, std::string& aOut);

//! Takes the frames of an answer apart as its bytes arrive, with bounded memory. A record that is
//! too long is delivered without its data as soon as its length is known, and ends the answer, so
//! that no record can hold up those behind it.
class FrameReader
{
public:
  //! aFrom is the offset that was asked for; aMaxTotalBytes bounds the records kept.
  FrameReader(common::Offset aFrom, std::size_t aMaxRecordBytes, std::size_t aMaxTotalBytes);

  //! False if no more bytes are wanted: enough is kept, a record is too long, or a frame is
  //! malformed.
  bool Feed(std::string_view aBytes);

  //! True if the bytes so far end with a whole frame.
  bool IsAtFrameEnd() const { return head_.empty() && bytesLeft_ == 0; }
  //! True if an offset is not greater than the one before it, or less than asked for.
  bool IsMalformed() const { return isMalformed_; }
  //! Number of records whose data was dropped because they are too long.
  std::uint64_t OversizedCount() const { return oversizedCount_; }

  //! The whole records so far.
  std::vector<Record> TakeRecords();

private:
  void ReadHead();
  void EndRecord();

  std::uint64_t leastOffset_;
  std::size_t maxRecordBytes_;
  std::size_t maxTotalBytes_;
  std::string head_;
  Record record_;
  std::size_t bytesLeft_ = 0;
  bool isMalformed_ = false;
  bool isFull_ = false;
  std::size_t totalBytes_ = 0;
  std::uint64_t oversizedCount_ = 0;
  std::vector<Record> records_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_RecordFrames_h
