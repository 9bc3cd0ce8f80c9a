#ifndef dandelionstand_standins_log_LogStore_h
#define dandelionstand_standins_log_LogStore_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace dandelionstand::standins {

//! Limits on the records that a stream retains; 0 means no limit.
struct Retention
{
  std::uint64_t records_ = 0;
  common::Duration age_{};
};

//! Holds the streams of the log service in memory.
class LogStore
{
public:
  common::Offset Append(const std::string& aStream, std::string aData, common::TimePoint aNow);

  //! Returns the frames of the retained records from aFrom on, up to and including the one with
  //! which they reach aMaxBytes.
  std::string ReadFrames(const std::string& aStream, common::Offset aFrom, std::size_t aMaxBytes);

  //! The newest record of a key in a keyed stream.
  struct NewestRecord
  {
    std::string value_;
    common::Offset offset_;
  };
  //! The newest records by key; retention does not apply to them. Empty for a stream that is not
  //! keyed. An empty value deletes its key.
  const std::map<std::string, NewestRecord>& NewestRecords(const std::string& aStream);

  //! Drops the records of all streams. NewestRecords is not affected.
  void TrimAll();
  //! Drops the records with offsets below aBefore.
  void Trim(const std::string& aStream, common::Offset aBefore);

  //! Offset of the oldest retained record.
  common::Offset FirstOffset(const std::string& aStream);
  //! Offset of the next record to be appended.
  common::Offset NextOffset(const std::string& aStream);

  void SetRetention(Retention aRetention) { retention_ = aRetention; }
  //! Drops the records that exceed the retention limits.
  void Expire(common::TimePoint aNow);

private:
  struct Entry
  {
    std::string data_;
    common::TimePoint appendedAt_;
  };
  struct Stream
  {
    std::deque<Entry> entries_;
    std::map<std::string, NewestRecord> newestRecords_;
    std::uint64_t firstOffset_ = 1;
  };

  //! The stream must not be empty.
  bool IsOldestExpired(const Stream& aStream, common::TimePoint aNow) const;

  Retention retention_;
  std::map<std::string, Stream> streams_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_log_LogStore_h
