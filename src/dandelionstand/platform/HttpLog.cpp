#include "dandelionstand/platform/HttpLog.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/Base64.h"
#include "dandelionstand/platform/PlatformJson.h"
#include "dandelionstand/platform/RecordFrames.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusTooManyRequests = 429;

//! Offsets start at 0 in the log service and at 1 in common::Offset.
constexpr std::uint64_t kFirstOffset = 1;
//! Maximum body size of a page of newest records. The service ends a page at 1 MB of values, which
//! the body contains base64-encoded.
constexpr std::size_t kMaxPageBytes = std::size_t{ 4 } * 1024 * 1024;
const std::string kKeyedTopicPrefix = "keyed.";

//! Request target of an operation on partition 0, the only partition of a stream.
std::string RequestTarget(const char* aOperation, const std::string& aTopic)
{
  return std::string("/dandelionstand/") + aOperation + "?topic=" + aTopic + "&part=0";
}

std::string KeyedTopic(const StreamName& aStream)
{
  return kKeyedTopicPrefix + aStream.Get();
}

std::optional<common::Offset> ParseOffset(const nlohmann::json& aBody, const char* aName)
{
  if (!aBody.is_object() || !aBody.contains(aName) || !aBody[aName].is_number_unsigned()) {
    return std::nullopt;
  }
  return common::Offset(aBody[aName].get<std::uint64_t>() + kFirstOffset);
}

std::optional<common::Offset> ParseOffset(const std::string& aBody, const char* aName)
{
  return ParseOffset(ParseJson(aBody), aName);
}

//! Parses an item of a page of newest records; returns nullopt if it is malformed.
std::optional<KeyedRecord> ParseItem(const nlohmann::json& aItem)
{
  const std::optional<common::Offset> offset = ParseOffset(aItem, "offset");
  if (!offset || !aItem.contains("key") || !aItem["key"].is_string() || !aItem.contains("value") ||
      !aItem["value"].is_string()) {
    return std::nullopt;
  }
  KeyedRecord record;
  record.key_ = aItem["key"].get<std::string>();
  record.offset_ = *offset;
  if (!DecodeBase64(aItem["value"].get<std::string>(), record.data_)) {
    return std::nullopt;
  }
  return record;
}

std::string EscapeQuery(const std::string& aText)
{
  char* escaped = evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0);
  std::string result = escaped == nullptr ? "" : escaped;
  std::free(escaped);
  return result;
}

const char* ToText(LogStatus aStatus)
{
  switch (aStatus) {
    case LogStatus::kOk:
      return "ok";
    case LogStatus::kUnavailable:
      return "unavailable";
    case LogStatus::kOverloaded:
      return "overloaded";
    case LogStatus::kGap:
      return "gap";
    case LogStatus::kRejected:
      return "rejected";
  }
  return "unknown";
}

const char* ToText(HttpOutcome aOutcome)
{
  switch (aOutcome) {
    case HttpOutcome::kAnswered:
      return "answered";
    case HttpOutcome::kEndedEarly:
      return "ended-early";
    case HttpOutcome::kTimedOut:
      return "timed-out";
    case HttpOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

std::uint64_t ToMilliseconds(common::Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

LogStatus HttpLog::ToLogStatus(const HttpResponse& aResponse)
{
  if (aResponse.outcome_ != HttpOutcome::kAnswered &&
      aResponse.outcome_ != HttpOutcome::kEndedEarly) {
    return LogStatus::kUnavailable;
  }
  switch (aResponse.status_) {
    case kStatusOk:
      return LogStatus::kOk;
    case kStatusGone:
      return LogStatus::kGap;
    case kStatusTooManyRequests:
      return LogStatus::kOverloaded;
    case kStatusBadRequest:
    case kStatusNotFound:
    case kStatusTooLarge:
      return LogStatus::kRejected;
    default:
      return LogStatus::kUnavailable;
  }
}

//! State of a read until its answer is complete.
class HttpLog::PendingRead
{
public:
  PendingRead(std::string aTopic, FrameReader aFrames)
    : topic_(std::move(aTopic))
    , frames_(std::move(aFrames))
  {
  }

  std::string topic_;
  FrameReader frames_;
};

struct HttpLog::PagedRead
{
  std::string topic_;
  std::string lastKey_; //!< Last key of the previous page; empty for the first page.
  KeyedReadResult result_;
  KeyedReadCallback callback_;
};

HttpLog::HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , counters_(aCounters)
  , client_(aLoop,
            { .address_ = settings_.address_,
              .sourceAddress_ = settings_.sourceAddress_,
              .maxBodyBytes_ = kMaxPageBytes })
{
}

void HttpLog::Append(const StreamName& aStream, std::string aData, AppendCallback aCallback)
{
  AppendToTopic(aStream.Get(), aData, std::move(aCallback));
}

void HttpLog::AppendKeyed(const StreamName& aStream,
                          const std::string& aKey,
                          const std::string& aData,
                          AppendCallback aCallback)
{
  AppendToTopic(KeyedTopic(aStream), EncodeKeyedRecord(aKey, aData), std::move(aCallback));
}

void HttpLog::AppendToTopic(const std::string& aTopic,
                            const std::string& aRecord,
                            AppendCallback aCallback)
{
  if (aRecord.size() > kMaxRecordBytes) {
    RefuseAppend(aTopic, LogStatus::kRejected, std::move(aCallback));
    return;
  }
  if (IsAtRequestLimit()) {
    RefuseAppend(aTopic, LogStatus::kOverloaded, std::move(aCallback));
    return;
  }
  HttpRequest request;
  request.method_ = HttpMethod::kPost;
  request.target_ = RequestTarget("log-append", aTopic);
  AppendFrame(aRecord, request.body_);
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request),
               [this, aTopic, callback = std::move(aCallback)](const HttpResponse& aResponse) {
                 callback(ToAppendResult(aTopic, aResponse));
               });
}

void HttpLog::RefuseAppend(const std::string& aTopic, LogStatus aStatus, AppendCallback aCallback)
{
  CountRequest("appends", aStatus);
  common::LogEvent(common::Severity::kError,
                   "log_append_refused",
                   { { "stream", aTopic }, { "status", ToText(aStatus) } });
  loop_.Post([aStatus, callback = std::move(aCallback)]() {
    callback({ .status_ = aStatus, .offset_ = {} });
  });
}

void HttpLog::Read(const StreamName& aStream,
                   common::Offset aOffset,
                   common::Duration aMaxWait,
                   ReadCallback aCallback)
{
  ReadTopic(aStream.Get(), aOffset, aMaxWait, std::move(aCallback));
}

void HttpLog::ReadKeyed(const StreamName& aStream,
                        common::Offset aOffset,
                        common::Duration aMaxWait,
                        KeyedReadCallback aCallback)
{
  const std::string topic = KeyedTopic(aStream);
  ReadTopic(topic,
            aOffset,
            aMaxWait,
            [this, topic, callback = std::move(aCallback)](const ReadResult& aResult) {
              KeyedReadResult keyedResult{ aResult.status_, {}, aResult.endOffset_ };
              for (const Record& record : aResult.records_) {
                KeyedRecord keyedRecord{ "", "", record.offset_ };
                keyedResult.nextOffset_ = common::Offset(record.offset_.Get() + 1);
                if (DecodeKeyedRecord(record.data_, keyedRecord.key_, keyedRecord.data_)) {
                  keyedResult.records_.push_back(std::move(keyedRecord));
                } else {
                  ReportMalformed(topic, "record without a key");
                }
              }
              callback(keyedResult);
            });
}

void HttpLog::ReadTopic(const std::string& aTopic,
                        common::Offset aOffset,
                        common::Duration aMaxWait,
                        ReadCallback aCallback)
{
  if (IsAtRequestLimit()) {
    CountRequest("reads", LogStatus::kOverloaded);
    loop_.Post([callback = std::move(aCallback)]() {
      callback({ .status_ = LogStatus::kOverloaded,
                 .records_ = {},
                 .firstOffset_ = {},
                 .endOffset_ = {} });
    });
    return;
  }
  auto read = std::make_shared<PendingRead>(
    aTopic, FrameReader(aOffset, kMaxRecordBytes, settings_.maxReadBytes_));
  HttpRequest request;
  request.target_ = RequestTarget("log-read", aTopic) +
                    "&from=" + std::to_string(aOffset.Get() - kFirstOffset) +
                    "&wait-ms=" + std::to_string(ToMilliseconds(aMaxWait));
  request.timeout_ = settings_.timeout_ + aMaxWait;
  request.onBody_ = [read](std::string_view aPiece) { return read->frames_.Feed(aPiece); };
  client_.Send(std::move(request),
               [this, read, callback = std::move(aCallback)](const HttpResponse& aResponse) {
                 callback(ToReadResult(*read, aResponse));
               });
}

void HttpLog::ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback)
{
  auto pagedRead = std::make_shared<PagedRead>();
  pagedRead->topic_ = KeyedTopic(aStream);
  pagedRead->callback_ = std::move(aCallback);
  if (IsAtRequestLimit()) {
    CountRequest("reads", LogStatus::kOverloaded);
    pagedRead->result_.status_ = LogStatus::kOverloaded;
    loop_.Post([pagedRead] { pagedRead->callback_(pagedRead->result_); });
    return;
  }
  ReadPage(pagedRead);
}

void HttpLog::ReadPage(const std::shared_ptr<PagedRead>& aPagedRead)
{
  HttpRequest request;
  request.target_ = RequestTarget("log-newest", aPagedRead->topic_);
  if (!aPagedRead->lastKey_.empty()) {
    request.target_ += "&after=" + EscapeQuery(aPagedRead->lastKey_);
  }
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request), [this, aPagedRead](const HttpResponse& aResponse) {
    OnPage(aPagedRead, aResponse);
  });
}

void HttpLog::OnPage(const std::shared_ptr<PagedRead>& aPagedRead, const HttpResponse& aResponse)
{
  KeyedReadResult& result = aPagedRead->result_;
  result.status_ = ToLogStatus(aResponse);
  CountRequest("reads", result.status_);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("newest", aPagedRead->topic_, result.status_, aResponse);
    aPagedRead->callback_(result);
    return;
  }
  const nlohmann::json page = ParseJson(aResponse.body_);
  const std::optional<common::Offset> next = ParseOffset(page, "end-offset");
  if (!next || !page.contains("items") || !page["items"].is_array()) {
    ReportMalformed(aPagedRead->topic_, "newest records without items or end");
    result.status_ = LogStatus::kUnavailable;
    aPagedRead->callback_(result);
    return;
  }
  // The pages are not a consistent snapshot: records may be appended while they are fetched. A read
  // from the end offset of the first page returns those records.
  result.nextOffset_ = result.nextOffset_.Get() == 0 ? *next : result.nextOffset_;
  const std::string previousLastKey = aPagedRead->lastKey_;
  for (const nlohmann::json& item : page["items"]) {
    if (const std::optional<KeyedRecord> record = ParseItem(item)) {
      aPagedRead->lastKey_ = record->key_;
      result.records_.push_back(*record);
    } else {
      ReportMalformed(aPagedRead->topic_, "malformed item");
    }
  }
  const bool hasMore = page.contains("more") && page["more"] == true;
  const bool isFurther = aPagedRead->lastKey_ != previousLastKey;
  if (hasMore && !isFurther) {
    ReportMalformed(aPagedRead->topic_, "page of newest records that repeats the previous one");
    result.status_ = LogStatus::kUnavailable;
  }
  if (hasMore && isFurther) {
    ReadPage(aPagedRead);
  } else {
    aPagedRead->callback_(result);
  }
}

AppendResult HttpLog::ToAppendResult(const std::string& aTopic, const HttpResponse& aResponse)
{
  AppendResult result;
  result.status_ = ToLogStatus(aResponse);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("append", aTopic, result.status_, aResponse);
  } else if (const auto offset = ParseOffset(aResponse.body_, "offset")) {
    result.offset_ = *offset;
  } else {
    ReportMalformed(aTopic, "append answer without an offset");
    result.status_ = LogStatus::kUnavailable;
  }
  CountRequest("appends", result.status_);
  return result;
}

ReadResult HttpLog::ToReadResult(PendingRead& aRead, const HttpResponse& aResponse)
{
  ReadResult result;
  result.status_ = ToLogStatus(aResponse);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("read", aRead.topic_, result.status_, aResponse);
  }
  if ((result.status_ == LogStatus::kGap && !ParseGap(aRead, aResponse, result)) ||
      (result.status_ == LogStatus::kOk && !MoveRecords(aRead, aResponse, result))) {
    result = ReadResult();
  }
  CountRequest("reads", result.status_);
  return result;
}

bool HttpLog::ParseGap(const PendingRead& aRead, const HttpResponse& aResponse, ReadResult& aResult)
{
  const std::optional<common::Offset> first = ParseOffset(aResponse.body_, "first-offset");
  if (!first) {
    ReportMalformed(aRead.topic_, "gap without the first offset");
    return false;
  }
  aResult.firstOffset_ = *first;
  // The end offset is optional; it cannot be below the oldest retained offset.
  aResult.endOffset_ = ParseOffset(aResponse.body_, "end-offset").value_or(*first);
  return true;
}

bool HttpLog::MoveRecords(PendingRead& aRead, const HttpResponse& aResponse, ReadResult& aResult)
{
  const FrameReader& frames = aRead.frames_;
  const bool isTruncated = aResponse.outcome_ == HttpOutcome::kAnswered && !frames.IsAtFrameEnd();
  if (frames.IsMalformed() || isTruncated) {
    ReportMalformed(aRead.topic_, "malformed record frames");
    return false;
  }
  aResult.records_ = aRead.frames_.ExtractRecords();
  aResult.firstOffset_ = frames.FirstOffset();
  aResult.endOffset_ = frames.EndOffset();
  if (const std::uint64_t oversized = frames.OversizedCount(); oversized > 0) {
    counters_.Add("log_oversized_records_total", oversized);
    common::LogEvent(
      common::Severity::kError,
      "log_record_oversized",
      { { "stream", aRead.topic_ }, { "offset", aResult.records_.back().offset_.Get() } });
  }
  return true;
}

void HttpLog::CountRequest(const char* aRequest, LogStatus aStatus)
{
  counters_.Add(std::string("log_") + aRequest + "_total{outcome=\"" + ToText(aStatus) + "\"}");
}

void HttpLog::ReportFailure(const char* aRequest,
                            const std::string& aTopic,
                            LogStatus aStatus,
                            const HttpResponse& aResponse)
{
  common::LogEvent(common::Severity::kWarn,
                   "log_request_failed",
                   { { "request", aRequest },
                     { "stream", aTopic },
                     { "status", ToText(aStatus) },
                     { "http_status", static_cast<std::uint64_t>(aResponse.status_) },
                     { "reason", ToText(aResponse.outcome_) } });
}

void HttpLog::ReportMalformed(const std::string& aTopic, const char* aReason)
{
  counters_.Add("log_malformed_answers_total");
  common::LogEvent(common::Severity::kError,
                   "log_answer_malformed",
                   { { "stream", aTopic }, { "reason", aReason } });
}

} // namespace dandelionstand::platform
