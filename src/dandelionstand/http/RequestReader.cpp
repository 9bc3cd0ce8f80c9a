#include "dandelionstand/http/RequestReader.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/http/HeadCheck.h"

#include <utility>

namespace dandelionstand::http {

namespace {

constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kTooLarge = 413;
constexpr std::uint32_t kHeadTooLarge = 431;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

RequestReader& ReaderOf(http_parser* aParser)
{
  return *static_cast<RequestReader*>(aParser->data);
}

} // namespace

RequestReader::RequestReader() = default;

std::size_t RequestReader::Read(std::string_view aBytes, const Limits& aLimits)
{
  maxBodyBytes_ = aLimits.bodyBytes_;
  std::size_t used = 0;
  if (state_ == State::kIdle) {
    // Ignores empty lines before a request line, as RFC 9112 advises.
    while (aBytes.substr(used).starts_with("\r\n")) {
      used += 2;
    }
    const std::string_view rest = aBytes.substr(used);
    if (rest.empty() || rest == "\r") {
      return used;
    }
    state_ = State::kHead;
  }
  if (state_ == State::kHead) {
    used += ReadHead(aBytes.substr(used), aLimits);
  }
  // http_parser interprets empty input as the end of the connection.
  if (state_ == State::kBody && used < aBytes.size()) {
    used += Parse(aBytes.substr(used));
  }
  return used;
}

std::size_t RequestReader::ReadHead(std::string_view aBytes, const Limits& aLimits)
{
  const auto end = aBytes.find(kHeadEnd);
  const std::size_t size = end == std::string_view::npos ? aBytes.size() : end + kHeadEnd.size();
  if (size > aLimits.headBytes_) {
    Fail(kHeadTooLarge, "head is too large");
    return 0;
  }
  if (end == std::string_view::npos) {
    return 0;
  }
  const std::string_view head = aBytes.substr(0, size);
  const std::string_view fault = CheckRequestHead(head);
  if (!fault.empty()) {
    Fail(kBadRequest, fault);
    return 0;
  }
  request_ = Request{};
  isInValue_ = false;
  areHeadersComplete_ = false;
  expectsContinue_ = false;
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  state_ = State::kBody;
  const std::size_t parsed = Parse(head);
  if (state_ != State::kFailed && parsed != size) {
    Fail(kBadRequest, "malformed head");
  }
  return parsed;
}

std::size_t RequestReader::Parse(std::string_view aBytes)
{
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = &OnUrl;
    callbacks.on_header_field = &OnField;
    callbacks.on_header_value = &OnValue;
    callbacks.on_headers_complete = &OnHeadersComplete;
    callbacks.on_body = &OnBody;
    callbacks.on_message_complete = &OnComplete;
    return callbacks;
  }();
  const std::size_t used = http_parser_execute(&parser_, &kCallbacks, aBytes.data(), aBytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED && state_ != State::kFailed) {
    Fail(kBadRequest, http_errno_description(error));
  }
  return used;
}

void RequestReader::Fail(std::uint32_t aStatus, std::string_view aFault)
{
  state_ = State::kFailed;
  status_ = aStatus;
  fault_ = aFault;
}

Request RequestReader::ExtractRequest()
{
  state_ = State::kIdle;
  return std::exchange(request_, Request{});
}

int RequestReader::OnUrl(http_parser* aParser, const char* aText, std::size_t aSize)
{
  ReaderOf(aParser).request_.target_.append(aText, aSize);
  return 0;
}

int RequestReader::OnField(http_parser* aParser, const char* aText, std::size_t aSize)
{
  RequestReader& self = ReaderOf(aParser);
  if (self.areHeadersComplete_) {
    return 0; // Ignores trailers.
  }
  Headers& headers = self.request_.headers_;
  if (headers.empty() || self.isInValue_) {
    headers.emplace_back();
    self.isInValue_ = false;
  }
  headers.back().name_.append(aText, aSize);
  return 0;
}

int RequestReader::OnValue(http_parser* aParser, const char* aText, std::size_t aSize)
{
  RequestReader& self = ReaderOf(aParser);
  if (self.areHeadersComplete_) {
    return 0;
  }
  self.isInValue_ = true;
  self.request_.headers_.back().value_.append(aText, aSize);
  return 0;
}

int RequestReader::OnHeadersComplete(http_parser* aParser)
{
  RequestReader& self = ReaderOf(aParser);
  Request& request = self.request_;
  self.areHeadersComplete_ = true;
  request.method_ = http_method_str(static_cast<http_method>(aParser->method));
  request.isHttp11_ = aParser->http_major == 1 && aParser->http_minor >= 1;
  request.isKeptAlive_ = http_should_keep_alive(aParser) != 0;
  self.expectsContinue_ =
    common::EqualsIgnoringCase(FindHeader(request.headers_, "Expect"), "100-continue");
  if (request.target_.empty() || request.target_.front() != '/') {
    self.Fail(kBadRequest, "target is not a path");
    return -1;
  }
  const bool hasLength = aParser->content_length != ~std::uint64_t{ 0 };
  if (hasLength && aParser->content_length > self.maxBodyBytes_) {
    self.Fail(kTooLarge, "body is too large");
    return -1;
  }
  return 0;
}

int RequestReader::OnBody(http_parser* aParser, const char* aText, std::size_t aSize)
{
  RequestReader& self = ReaderOf(aParser);
  if (self.request_.body_.size() + aSize > self.maxBodyBytes_) {
    self.Fail(kTooLarge, "body is too large");
    return -1;
  }
  self.request_.body_.append(aText, aSize);
  return 0;
}

int RequestReader::OnComplete(http_parser* aParser)
{
  ReaderOf(aParser).state_ = State::kComplete;
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace dandelionstand::http
