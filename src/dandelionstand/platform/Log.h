#ifndef dandelionstand_platform_Log_h
#define dandelionstand_platform_Log_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::platform {

//! Name of a stream in the platform's log; each stream has offsets of its own.
using StreamName = common::StrongId<struct StreamNameTag, std::string>;

enum class LogStatus
{
  kOk,
  kUnavailable, //!< No answer, or an answer that refuses service; an append may have taken effect.
  kOverloaded,  //!< Refused by the rate limit; an append did not take effect.
  kGap,         //!< The offset asked for is older than the records that are kept.
  kRejected,    //!< The request is at fault (too large, bad name); an append did not take effect.
};

//! Longest record that is appended or read. It is the same for all readers, since they must agree
//! on what each record says.
constexpr std::size_t kMaxRecordBytes = std::size_t{ 4 } * 1024 * 1024;

struct Record
{
  common::Offset offset_;
  std::string data_; //!< Empty if the record is longer than kMaxRecordBytes.

  bool operator==(const Record&) const = default;
};

//! A record of a keyed stream, which keeps the newest record of each key for good.
struct KeyedRecord
{
  std::string key_;
  std::string data_;
  common::Offset offset_;

  bool operator==(const KeyedRecord&) const = default;
};

struct KeyedReadResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  std::vector<KeyedRecord> records_;
  common::Offset nextOffset_; //!< Where to read on (valid if kOk).
};

struct AppendResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  common::Offset offset_; //!< Valid if kOk.
};

struct ReadResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  std::vector<Record> records_; //!< In order; may be empty if the wait ended first.
  common::Offset firstOffset_;  //!< Oldest offset that is kept (valid if kOk or kGap).
  common::Offset endOffset_;    //!< Offset that the next append will get (valid if kOk or kGap).
};

//! The platform's append-only log, seen from a task on the event loop.
class Log
{
public:
  using AppendCallback = std::function<void(const AppendResult&)>;
  using ReadCallback = std::function<void(const ReadResult&)>;
  using KeyedReadCallback = std::function<void(const KeyedReadResult&)>;

  virtual ~Log();

  //! Appends one record; the callback is called once, from the event loop.
  virtual void Append(const StreamName& aStream, std::string aData, AppendCallback aCallback) = 0;

  //! Reads records from aFrom on; waits up to aWait for the first one to appear.
  virtual void Read(const StreamName& aStream,
                    common::Offset aFrom,
                    common::Duration aWait,
                    ReadCallback aCallback) = 0;

  //! Appends a record with a key to a keyed stream.
  virtual void AppendKeyed(const StreamName& aStream,
                           const std::string& aKey,
                           const std::string& aData,
                           AppendCallback aCallback) = 0;

  //! As Read, of a keyed stream. kGap: read the newest records instead.
  virtual void ReadKeyed(const StreamName& aStream,
                         common::Offset aFrom,
                         common::Duration aWait,
                         KeyedReadCallback aCallback) = 0;

  //! Reads the newest record of every key.
  virtual void ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback) = 0;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_Log_h
