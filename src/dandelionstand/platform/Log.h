#ifndef dandelionstand_platform_Log_h
#define dandelionstand_platform_Log_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::platform {

//! Name of a stream in the platform's log. Offsets are counted per stream.
using StreamName = common::StrongId<struct StreamNameTag, std::string>;

enum class LogStatus
{
  kOk,
  kUnavailable, //!< No answer or an error of the service; an append may have taken effect.
  kOverloaded,  //!< Refused by a rate limit; an append did not take effect.
  kGap,         //!< The requested offset is older than the retained records.
  kRejected,    //!< The request is invalid (too large, bad name); an append did not take effect.
};

//! Maximum size of a record that is appended or read. All readers use the same limit, because they
//! must agree on the content of each record.
constexpr std::size_t kMaxRecordBytes = std::size_t{ 4 } * 1024 * 1024;

struct Record
{
  common::Offset offset_;
  std::string data_; //!< Empty if the record exceeds kMaxRecordBytes.

  bool operator==(const Record&) const = default;
};

//! A record of a keyed stream. The newest record of each key is retained without a time limit.
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
  common::Offset nextOffset_; //!< Offset to read on from (valid if kOk).
};

struct AppendResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  common::Offset offset_; //!< Valid if kOk.
};

struct ReadResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  std::vector<Record> records_; //!< By offset; empty if the wait ended first.
  common::Offset firstOffset_;  //!< Oldest retained offset (valid if kOk or kGap).
  common::Offset endOffset_;    //!< Offset of the next append (valid if kOk or kGap).
};

//! Asynchronous access to the platform's append-only log.
class Log
{
public:
  using AppendCallback = std::function<void(const AppendResult&)>;
  using ReadCallback = std::function<void(const ReadResult&)>;
  using KeyedReadCallback = std::function<void(const KeyedReadResult&)>;

  virtual ~Log();

  //! Appends one record; the callback is called once, from the event loop.
  virtual void Append(const StreamName& aStream, std::string aData, AppendCallback aCallback) = 0;

  //! Reads records from aOffset on. If there are none yet, waits up to aMaxWait for the first one.
  virtual void Read(const StreamName& aStream,
                    common::Offset aOffset,
                    common::Duration aMaxWait,
                    ReadCallback aCallback) = 0;

  //! Appends a record with a key to a keyed stream.
  virtual void AppendKeyed(const StreamName& aStream,
                           const std::string& aKey,
                           const std::string& aData,
                           AppendCallback aCallback) = 0;

  //! Like Read, for a keyed stream. After kGap, use ReadNewest instead.
  virtual void ReadKeyed(const StreamName& aStream,
                         common::Offset aOffset,
                         common::Duration aMaxWait,
                         KeyedReadCallback aCallback) = 0;

  //! Reads the newest record of every key.
  virtual void ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback) = 0;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_Log_h
