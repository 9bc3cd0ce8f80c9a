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

//! How much of a stream is kept; 0 stands for no limit.
struct Retention
{
  std::uint64_t records_ = 0;
  common::Duration age_{};
};

//! The streams of the log service, in memory.
class LogStore
{
public:
  common::Offset Append(const std::string& aStream, std::string aData, common::TimePoint aNow);

  //! The frames of the kept records from aFrom on, ended after the first that passes aMaxBytes.
  std::string ReadFrames(const std::string& aStream, common::Offset aFrom, std::size_t aMaxBytes);

  //! A record that is the newest of its key in a keyed stream.
  struct Newest
  {
    std::string value_;
    common::Offset offset_;
  };
  //! By key; kept whatever the retention drops. Empty for a stream that is not keyed.
  const std::map<std::string, Newest>& NewestOf(const std::string& aStream);

  //! Drops every record, but not the newest ones of keyed streams.
  void TrimAll();
  void Trim(const std::string& aStream, common::Offset aBefore);

  common::Offset First(const std::string& aStream);
  common::Offset Next(const std::string& aStream);

  void SetRetention(Retention aRetention) { retention_ = aRetention; }
  //! Drops what the retention no longer keeps.
  void Expire(common::TimePoint aNow);

private:
  struct Entry
  {
    std::string data_;
    common::TimePoint appended_;
  };
  struct Stream
  {
    std::deque<Entry> entries_;
    std::map<std::string, Newest> newest_;
    std::uint64_t first_ = 1;
  };

  bool IsExpired(const Stream& aStream, common::TimePoint aNow) const;

  Retention retention_;
  std::map<std::string, Stream> streams_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_log_LogStore_h
