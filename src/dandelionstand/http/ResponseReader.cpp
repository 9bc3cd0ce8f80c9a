#include "dandelionstand/http/ResponseReader.h"

#include <utility>

namespace dandelionstand::http {

namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;
//! A response with more bytes of header names and values is malformed.
constexpr std::size_t kMaxHeadBytes = 64UL * 1024;

ResponseReader& ReaderOf(http_parser* aParser)
{
  return *static_cast<ResponseReader*>(aParser->data);
}

} // namespace

ResponseReader::ResponseReader(Events aEvents)
  : events_(std::move(aEvents))
{
}

const http_parser_settings& ResponseReader::Callbacks()
{
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_header_field = &OnField;
    callbacks.on_header_value = &OnValue;
    callbacks.on_headers_complete = &OnHeadersComplete;
    callbacks.on_body = &OnBody;
    callbacks.on_message_complete = &OnComplete;
    return callbacks;
  }();
  return kCallbacks;
}

void ResponseReader::ExpectResponseTo(const std::string& aMethod)
{
  isHeadRequest_ = aMethod == "HEAD";
  head_ = ResponseHead{};
  headBytes_ = 0;
  isInValue_ = false;
  areHeadersComplete_ = false;
  isComplete_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

bool ResponseReader::Read(std::string_view aBytes, std::size_t& aUsed)
{
  aUsed = http_parser_execute(&parser_, &Callbacks(), aBytes.data(), aBytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    return true;
  }
  return error == HPE_OK && parser_.upgrade == 0;
}

bool ResponseReader::ReadEof()
{
  if (!isComplete_) {
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  }
  return isComplete_;
}

int ResponseReader::OnField(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ResponseReader& self = ReaderOf(aParser);
  if (self.areHeadersComplete_) {
    return 0;
  }
  self.headBytes_ += aSize;
  Headers& headers = self.head_.headers_;
  if (headers.empty() || self.isInValue_) {
    headers.emplace_back();
    self.isInValue_ = false;
  }
  headers.back().name_.append(aText, aSize);
  return self.headBytes_ > kMaxHeadBytes ? -1 : 0;
}

int ResponseReader::OnValue(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ResponseReader& self = ReaderOf(aParser);
  if (self.areHeadersComplete_) {
    return 0;
  }
  self.headBytes_ += aSize;
  self.isInValue_ = true;
  self.head_.headers_.back().value_.append(aText, aSize);
  return self.headBytes_ > kMaxHeadBytes ? -1 : 0;
}

int ResponseReader::OnHeadersComplete(http_parser* aParser)
{
  ResponseReader& self = ReaderOf(aParser);
  // http_parser accepts any number of up to three digits.
  if (aParser->status_code < kMinStatus || aParser->status_code > kMaxStatus) {
    return -1;
  }
  if (aParser->status_code < kFirstFinalStatus) {
    return 1; // Skips the body: an interim response has none.
  }
  self.areHeadersComplete_ = true;
  self.head_.status_ = aParser->status_code;
  self.isKeptAlive_ = http_should_keep_alive(aParser) != 0;
  self.events_.onHead_(std::move(self.head_));
  return self.isHeadRequest_ ? 1 : 0;
}

int ResponseReader::OnBody(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ReaderOf(aParser).events_.onBody_({ aText, aSize });
  return 0;
}

int ResponseReader::OnComplete(http_parser* aParser)
{
  ResponseReader& self = ReaderOf(aParser);
  if (!self.areHeadersComplete_) {
    self.head_ = ResponseHead{}; // Discards an interim response.
    self.isInValue_ = false;
    return 0;
  }
  self.isComplete_ = true;
  self.events_.onEnd_();
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace dandelionstand::http
