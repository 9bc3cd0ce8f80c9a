#ifndef dandelionstand_platform_HttpLog_h
#define dandelionstand_platform_HttpLog_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/platform/HttpClient.h"
#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <string>

namespace dandelionstand::platform {

struct HttpLogSettings
{
  common::Address address_;   //!< Host (an IP number) and port of the log service.
  std::string sourceAddress_; //!< Local IP number; empty leaves it to the system.
  //! For an append, and for a read on top of its wait.
  common::Duration timeout_ = std::chrono::seconds(3);
  //! A read ends once its records take this much.
  std::size_t maxReadBytes_ = std::size_t{ 8 } * 1024 * 1024;
};

//! The log service over HTTP. Counters: `log_appends_total` and `log_reads_total` by outcome,
//! `log_oversized_records_total`, `log_malformed_answers_total`.
class HttpLog : public Log
{
public:
  HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters);

  void Append(const StreamName& aStream, std::string aData, AppendCallback aCallback) override;
  void Read(const StreamName& aStream,
            common::Offset aFrom,
            common::Duration aWait,
            ReadCallback aCallback) override;

private:
  void RejectLater(const StreamName& aStream, AppendCallback aCallback);
  AppendResult ToAppendResult(const StreamName& aStream, const HttpAnswer& aAnswer);
  class Reading;
  ReadResult ToReadResult(Reading& aReading, const HttpAnswer& aAnswer);
  LogStatus Classify(const StreamName& aStream, const char* aWhat, const HttpAnswer& aAnswer);
  void ReportMalformed(const StreamName& aStream, const char* aReason);

  common::EventLoop& loop_;
  HttpLogSettings settings_;
  common::Counters& counters_;
  HttpClient client_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_HttpLog_h
