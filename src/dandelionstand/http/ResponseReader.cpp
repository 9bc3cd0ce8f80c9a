#include "dandelionstand/http/ResponseReader.h"

#include <utility>

namespace dandelionstand::http {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
//! Longest head of a response, in bytes; a longer one counts as malformed.
constexpr std::size_t kMostHeadBytes = 64UL * 1024;

ResponseReader& Of(http_parser* aParser)
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

void ResponseReader::Expect(const std::string& aMethod)
{
  skipsBody_ = aMethod == "HEAD";
  head_ = ResponseHead{};
  headBytes_ = 0;
  inValue_ = false;
  headersDone_ = false;
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

bool ResponseReader::ReadEnd()
{
  if (!isComplete_) {
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  }
  return isComplete_;
}

int ResponseReader::OnField(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ResponseReader& self = Of(aParser);
  if (self.headersDone_) {
    return 0;
  }
  self.headBytes_ += aSize;
  Headers& headers = self.head_.headers_;
  if (headers.empty() || self.inValue_) {
    headers.emplace_back();
    self.inValue_ = false;
  }
  headers.back().name_.append(aText, aSize);
  return self.headBytes_ > kMostHeadBytes ? -1 : 0;
}

int ResponseReader::OnValue(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ResponseReader& self = Of(aParser);
  if (self.headersDone_) {
    return 0;
  }
  self.headBytes_ += aSize;
  self.inValue_ = true;
  self.head_.headers_.back().value_.append(aText, aSize);
  return self.headBytes_ > kMostHeadBytes ? -1 : 0;
}

int ResponseReader::OnHeadersComplete(http_parser* aParser)
{
  ResponseReader& self = Of(aParser);
  if (aParser->status_code < kFirstFinalStatus) {
    return 1; // An interim response has no body.
  }
  self.headersDone_ = true;
  self.head_.status_ = aParser->status_code;
  self.isKeptAlive_ = http_should_keep_alive(aParser) != 0;
  self.events_.onHead_(std::move(self.head_));
  return self.skipsBody_ ? 1 : 0;
}

int ResponseReader::OnBody(http_parser* aParser, const char* aText, std::size_t aSize)
{
  Of(aParser).events_.onBody_({ aText, aSize });
  return 0;
}

int ResponseReader::OnComplete(http_parser* aParser)
{
  ResponseReader& self = Of(aParser);
  if (!self.headersDone_) {
    self.head_ = ResponseHead{}; // Of an interim response.
    self.inValue_ = false;
    return 0;
  }
  self.isComplete_ = true;
  self.events_.onEnd_();
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace dandelionstand::http
