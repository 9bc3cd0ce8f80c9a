#include "dandelionstand/platform/HttpClient.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <new>
#include <stdexcept>
#include <utility>

namespace dandelionstand::platform {

namespace {

std::string ReadAll(evbuffer* aBuffer)
{
  std::string text(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, text.data(), text.size());
  return text;
}

void CopyStatusAndHeaders(evhttp_request* aRequest, HttpResponse& aResponse)
{
  aResponse.status_ = evhttp_request_get_response_code(aRequest);
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    aResponse.headers_[ToLowerCase(header->key)] = header->value;
  }
}

} // namespace

std::string ToLowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

//! One request, its connection and its timer.
class HttpClient::Exchange
{
public:
  Exchange(HttpClient& aClient, HttpRequest aRequest, Callback aCallback)
    : client_(aClient)
    , request_(std::move(aRequest))
    , callback_(std::move(aCallback))
  {
  }

  void Start(Connection aConnection)
  {
    connection_ = std::move(aConnection);
    timer_ =
      client_.loop_.After(request_.timeout_, [this]() { Finish(HttpOutcome::kTimedOut, nullptr); });
    evhttp_request* request = evhttp_request_new(&Exchange::OnDone, this);
    if (request == nullptr) {
      throw std::bad_alloc();
    }
    evhttp_request_set_chunked_cb(request, &Exchange::OnBody);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (!request_.headers_.contains("Host")) {
      evhttp_add_header(headers, "Host", client_.settings_.address_.Get().c_str());
    }
    for (const auto& [name, value] : request_.headers_) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer* body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, request_.body_.data(), request_.body_.size());
    const evhttp_cmd_type command =
      request_.method_ == HttpMethod::kGet ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(connection_.get(), request, command, request_.target_.c_str()) != 0) {
      timer_ = client_.loop_.After({}, [this]() { Finish(HttpOutcome::kFailed, nullptr); });
    }
  }

  Connection ReleaseConnection() { return std::move(connection_); }
  void InvokeCallback(const HttpResponse& aResponse) { callback_(aResponse); }
  void StopTimer() { timer_.reset(); }

private:
  static void OnDone(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<Exchange*>(aSelf);
    self->client_.loop_.Perform([self, aRequest] {
      const bool isComplete =
        aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
      self->Finish(isComplete ? HttpOutcome::kAnswered : HttpOutcome::kFailed, aRequest);
    });
  }

  static void OnBody(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<Exchange*>(aSelf);
    self->client_.loop_.Perform([self, aRequest] { self->AddBody(aRequest); });
  }

  void AddBody(evhttp_request* aRequest)
  {
    const std::string piece = ReadAll(evhttp_request_get_input_buffer(aRequest));
    if (isFinished_) {
      return;
    }
    const bool isStreamed =
      request_.onBody_ != nullptr && evhttp_request_get_response_code(aRequest) == HTTP_OK;
    if (!isStreamed) {
      const std::size_t remainingBytes = client_.settings_.maxBodyBytes_ - body_.size();
      body_.append(piece, 0, remainingBytes);
    } else if (!request_.onBody_(piece)) {
      Finish(HttpOutcome::kEndedEarly, aRequest);
    }
  }

  void Finish(HttpOutcome aOutcome, evhttp_request* aRequest)
  {
    if (isFinished_) {
      return;
    }
    isFinished_ = true;
    HttpResponse response;
    response.outcome_ = aOutcome;
    response.body_ = std::move(body_);
    if (aRequest != nullptr) {
      CopyStatusAndHeaders(aRequest, response);
    }
    client_.OnFinished(this, response);
  }

  HttpClient& client_;
  HttpRequest request_;
  Callback callback_;
  Connection connection_;
  std::unique_ptr<common::Watch> timer_;
  std::string body_;
  bool isFinished_ = false;
};

void HttpClient::ConnectionDeleter::operator()(evhttp_connection* aConnection) const
{
  evhttp_connection_free(aConnection);
}

HttpClient::HttpClient(common::EventLoop& aLoop, HttpClientSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
{
  if (!common::ParseAddress(settings_.address_.Get(), server_)) {
    throw std::invalid_argument("not an IP address and port: " + settings_.address_.Get());
  }
}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest aRequest, Callback aCallback)
{
  auto exchange = std::make_unique<Exchange>(*this, std::move(aRequest), std::move(aCallback));
  Exchange* started = exchange.get();
  exchanges_.emplace(started, std::move(exchange));
  started->Start(AcquireConnection());
}

HttpClient::Connection HttpClient::AcquireConnection()
{
  // A connection that carried nothing for a while may be half-open, which only a time-out shows.
  const common::TimePoint oldestUsable = common::Now() - settings_.maxIdleTime_;
  std::erase_if(idle_,
                [&](const IdleConnection& aIdle) { return aIdle.releasedAt_ < oldestUsable; });
  if (!idle_.empty()) {
    Connection connection = std::move(idle_.back().connection_);
    idle_.pop_back();
    return connection;
  }
  Connection connection(
    evhttp_connection_base_new(loop_.Base(), nullptr, server_.host_.c_str(), server_.port_));
  if (!connection) {
    throw std::bad_alloc();
  }
  evhttp_connection_set_max_headers_size(connection.get(),
                                         static_cast<ev_ssize_t>(settings_.maxHeaderBytes_));
  if (!settings_.sourceAddress_.empty()) {
    evhttp_connection_set_local_address(connection.get(), settings_.sourceAddress_.c_str());
  }
  return connection;
}

void HttpClient::OnFinished(Exchange* aExchange, const HttpResponse& aResponse)
{
  auto finished = exchanges_.extract(aExchange);
  aExchange->StopTimer();
  if (aResponse.outcome_ == HttpOutcome::kTimedOut || aResponse.outcome_ == HttpOutcome::kFailed) {
    // The idle connections use the same network path and may be half-open as well.
    idle_.clear();
  }
  if (IsReusable(aResponse)) {
    idle_.push_back({ aExchange->ReleaseConnection(), common::Now() });
  }
  finished_.push_back(std::move(finished.mapped()));
  if (!destroyTimer_) {
    destroyTimer_ = loop_.After({}, [this]() { DestroyFinished(); });
  }
  aExchange->InvokeCallback(aResponse);
}

bool HttpClient::IsReusable(const HttpResponse& aResponse) const
{
  if (aResponse.outcome_ != HttpOutcome::kAnswered) {
    return false;
  }
  const auto header = aResponse.headers_.find("connection");
  const bool isClosing =
    header != aResponse.headers_.end() && ToLowerCase(header->second) == "close";
  return !isClosing && idle_.size() < settings_.maxIdleConnections_;
}

void HttpClient::DestroyFinished()
{
  destroyTimer_.reset();
  const std::vector<std::unique_ptr<Exchange>> finished = std::move(finished_);
  finished_.clear();
}

} // namespace dandelionstand::platform
