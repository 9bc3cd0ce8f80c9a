#include "dandelionstand/caller/CallerConnection.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/common/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace dandelionstand::caller {

namespace {

//! Taken bytes are reported in steps of this size, or when all is written.
constexpr std::uint64_t kReportStep = 64UL * 1024;

std::string MethodName(evhttp_cmd_type aMethod)
{
  switch (aMethod) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

bool ParseNumber(const std::string& aText, std::uint32_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end;
}

//! Reads the headers that speak to the daemon and not to the target.
void ReadOwnHeaders(evhttp_request* aRequest, CallerRequest& aResult)
{
  aResult.idempotencyKey_ = common::HeaderOf(aRequest, "Idempotency-Key");
  const std::string deadline = common::HeaderOf(aRequest, "Deadline-Ms");
  if (!deadline.empty()) {
    std::uint32_t milliseconds = 0;
    aResult.isValid_ = ParseNumber(deadline, milliseconds);
    aResult.timeLeft_ = std::chrono::milliseconds(milliseconds);
  }
  const std::string depth = common::HeaderOf(aRequest, "Dandelion-Depth");
  if (!depth.empty()) {
    aResult.isValid_ = ParseNumber(depth, aResult.depth_) && aResult.isValid_;
  }
}

Headers ReadEndToEndHeaders(evhttp_request* aRequest)
{
  Headers headers;
  const evkeyvalq* list = evhttp_request_get_input_headers(aRequest);
  const std::string connection = common::HeaderOf(aRequest, "Connection");
  for (const evkeyval* header = list->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (common::IsEndToEndRequestHeader(header->key, connection)) {
      headers.push_back({ header->key, header->value });
    }
  }
  return headers;
}

} // namespace

CallerConnection::CallerConnection(common::EventLoop& aLoop, evhttp_request* aRequest, Ended aEnded)
  : loop_(aLoop)
  , request_(aRequest)
  , connection_(evhttp_request_get_connection(aRequest))
  , output_(bufferevent_get_output(evhttp_connection_get_bufferevent(connection_)))
  , ended_(std::move(aEnded))
{
  evhttp_request_set_on_complete_cb(request_, &OnComplete, this);
  evhttp_connection_set_closecb(connection_, &OnClosed, this);
}

CallerConnection::~CallerConnection()
{
  Detach();
}

CallerRequest CallerConnection::TakeRequest()
{
  CallerRequest result;
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request_));
  result.method_ = MethodName(evhttp_request_get_command(request_));
  result.path_ = path == nullptr ? "" : path;
  result.target_ = evhttp_request_get_uri(request_);
  result.headers_ = ReadEndToEndHeaders(request_);
  ReadOwnHeaders(request_, result);
  evbuffer* input = evhttp_request_get_input_buffer(request_);
  result.body_.resize(evbuffer_get_length(input));
  evbuffer_remove(input, result.body_.data(), result.body_.size());
  return result;
}

void CallerConnection::Watch(Gone aGone, Taken aTaken)
{
  gone_ = std::move(aGone);
  taken_ = std::move(aTaken);
  outputWatch_ = evbuffer_add_cb(output_, &OnOutput, this);
  // evhttp does not read while a request is answered, so it would not see the caller leave.
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  callerWatch_ = loop_.OnReadable(descriptor, [this] { CheckCaller(); });
}

void CallerConnection::Unwatch()
{
  gone_ = nullptr;
  taken_ = nullptr;
}

void CallerConnection::SendHead(std::uint32_t aStatus, const Headers& aHeaders)
{
  if (request_ == nullptr) {
    return;
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  for (const Header& header : aHeaders) {
    if (common::IsEndToEndAnswerHeader(header.name_, "")) {
      evhttp_add_header(headers, header.name_.c_str(), header.value_.c_str());
    }
  }
  evhttp_send_reply_start(request_, static_cast<int>(aStatus), nullptr);
}

void CallerConnection::SendBody(const std::string& aData)
{
  if (request_ == nullptr) {
    return;
  }
  sentBytes_ += aData.size();
  evbuffer* data = evbuffer_new();
  evbuffer_add(data, aData.data(), aData.size());
  evhttp_send_reply_chunk(request_, data);
  evbuffer_free(data);
}

void CallerConnection::Finish()
{
  if (request_ != nullptr) {
    evhttp_send_reply_end(request_);
  }
}

void CallerConnection::Refuse(const Refusal& aRefusal)
{
  if (request_ == nullptr) {
    return;
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Dandelion-Reason", aRefusal.reason_.c_str());
  evhttp_add_header(headers, "Dandelion-Run", std::string(ToText(aRefusal.runState_)).c_str());
  if (aRefusal.deep_) {
    evhttp_add_header(headers, "Dandelion-Deep", "1");
  }
  common::SendReply(
    request_, static_cast<int>(aRefusal.status_), "text/plain", aRefusal.reason_ + "\n");
}

void CallerConnection::Abort()
{
  if (request_ == nullptr) {
    return;
  }
  // A reset cannot be taken for the regular end of an answer without a length.
  const linger reset{ 1, 0 };
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  evhttp_connection* connection = connection_;
  Detach();
  evhttp_connection_free(connection);
  End(false);
}

void CallerConnection::OnComplete(evhttp_request*, void* aSelf)
{
  auto* self = static_cast<CallerConnection*>(aSelf);
  self->Detach();
  self->End(false);
}

void CallerConnection::OnClosed(evhttp_connection*, void* aSelf)
{
  auto* self = static_cast<CallerConnection*>(aSelf);
  self->Detach();
  self->End(true);
}

void CallerConnection::OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aSelf)
{
  if (aInfo->n_deleted > 0) {
    static_cast<CallerConnection*>(aSelf)->ReportTaken(evbuffer_get_length(aBuffer));
  }
}

void CallerConnection::CheckCaller()
{
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  char byte = 0;
  const ssize_t size = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isGone = size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (isGone) {
    evhttp_connection* connection = connection_;
    Detach();
    evhttp_connection_free(connection);
    End(true);
  } else if (size > 0) {
    // The next request is already there; it waits, and hides a later end of the connection.
    callerWatch_.reset();
  }
}

void CallerConnection::ReportTaken(std::size_t aUnsent)
{
  const std::uint64_t total = sentBytes_ > aUnsent ? sentBytes_ - aUnsent : 0;
  const std::uint64_t fresh = total > takenBytes_ ? total - takenBytes_ : 0;
  if (taken_ && fresh > 0 && (fresh >= kReportStep || aUnsent == 0)) {
    takenBytes_ = total;
    taken_(static_cast<std::uint32_t>(fresh));
  }
}

void CallerConnection::Detach()
{
  callerWatch_.reset();
  if (request_ == nullptr) {
    return;
  }
  if (outputWatch_ != nullptr) {
    evbuffer_remove_cb_entry(output_, outputWatch_);
    outputWatch_ = nullptr;
  }
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  evhttp_request_set_on_complete_cb(request_, nullptr, nullptr);
  request_ = nullptr;
}

void CallerConnection::End(bool aIsGone)
{
  const Gone gone = std::move(gone_);
  if (aIsGone && gone) {
    gone();
  }
  const Ended ended = ended_;
  ended(*this);
}

} // namespace dandelionstand::caller
