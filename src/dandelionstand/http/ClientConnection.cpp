#include "dandelionstand/http/ClientConnection.h"

#include "dandelionstand/common/MessageGuard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace dandelionstand::http {

namespace {

sockaddr_in SocketAddressOf(const common::HostAndPort& aServer)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aServer.host_.c_str(), &address.sin_addr);
  address.sin_port = htons(aServer.port_);
  return address;
}

//! Bytes that a server may send before the head of the response to the current request: interim
//! responses and responses to earlier requests. A faulty server sends them without end.
constexpr std::size_t kMaxUnmatchedBytes = 256UL * 1024;

bool UsuallyHasBody(const std::string& aMethod)
{
  return aMethod != "GET" && aMethod != "HEAD";
}

} // namespace

ClientConnection::ClientConnection(common::EventLoop& aLoop,
                                   const common::HostAndPort& aServer,
                                   common::Duration aConnectTimeout)
  : loop_(aLoop)
  , server_(aServer)
  , stream_(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , reader_({ [this](ResponseHead aHead) { OnHead(std::move(aHead)); },
              [this](std::string_view aData) {
                if (!isSkippingResponse_ && handlers_.onBody_) {
                  handlers_.onBody_(aData);
                }
              },
              [this] { OnEnd(); } })
{
  bufferevent_setcb(stream_, &OnReadable, nullptr, &OnEvent, this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  connectTimer_ = loop_.After(aConnectTimeout, [this] { OnClosed(false); });
  sockaddr_in address = SocketAddressOf(aServer);
  if (bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    // Reports the failure from the event loop, like any other failure.
    connectTimer_ = loop_.After(common::Duration(0), [this] { OnClosed(false); });
  }
}

ClientConnection::~ClientConnection()
{
  if (stream_ != nullptr) {
    bufferevent_free(stream_);
  }
}

void ClientConnection::Send(const ClientRequest& aRequest, Handlers aHandlers)
{
  handlers_ = std::move(aHandlers);
  method_ = aRequest.method_;
  isBusy_ = true;
  isSkippingResponse_ = false;
  hasSkippedResponse_ = false;
  hasMatchedHead_ = false;
  unmatchedBytes_ = 0;
  wasSent_ = false;
  reader_.ExpectResponseTo(method_);
  Write(aRequest);
}

void ClientConnection::Write(const ClientRequest& aRequest)
{
  std::string text = aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const Header& header : aRequest.headers_) {
    text += header.name_ + ": " + header.value_ + "\r\n";
  }
  if (!aRequest.body_.empty() || UsuallyHasBody(aRequest.method_)) {
    text += "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  text += "\r\n";
  text += aRequest.body_;
  if (!isConnected_) {
    pendingRequest_ = std::move(text);
    notAfter_ = aRequest.notAfter_.value_or(common::TimePoint::max());
    return;
  }
  wasSent_ = true;
  bufferevent_write(stream_, text.data(), text.size());
}

void ClientConnection::Cancel()
{
  handlers_ = Handlers{};
  isUnusable_ = true;
  pendingRequest_.clear();
  connectTimer_.reset();
  if (stream_ != nullptr) {
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    bufferevent_free(std::exchange(stream_, nullptr));
  }
}

void ClientConnection::SetReading(bool aIsReading)
{
  if (stream_ == nullptr) {
    return;
  }
  if (aIsReading) {
    bufferevent_enable(stream_, EV_READ);
  } else {
    bufferevent_disable(stream_, EV_READ);
  }
}

void ClientConnection::OnReadable(bufferevent*, void* aSelf)
{
  auto* self = static_cast<ClientConnection*>(aSelf);
  self->Perform([self] { self->Read(); });
}

void ClientConnection::OnEvent(bufferevent*, short aEvents, void* aSelf)
{
  auto* self = static_cast<ClientConnection*>(aSelf);
  self->Perform([self, aEvents] {
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      self->OnConnected();
    } else if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      self->OnClosed((aEvents & BEV_EVENT_EOF) != 0);
    }
  });
}

void ClientConnection::Perform(const std::function<void()>& aAction)
{
  loop_.Perform([&] {
    if (!common::HandleMessage("server-connection", aAction)) {
      Fail(ClientFailure::kMalformed);
    }
  });
}

void ClientConnection::OnConnected()
{
  connectTimer_.reset();
  isConnected_ = true;
  const int on = 1;
  setsockopt(bufferevent_getfd(stream_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (!pendingRequest_.empty()) {
    if (common::Now() >= notAfter_) {
      Fail(ClientFailure::kExpired);
      return;
    }
    wasSent_ = true;
    const std::string text = std::exchange(pendingRequest_, std::string());
    bufferevent_write(stream_, text.data(), text.size());
  }
}

void ClientConnection::Read()
{
  evbuffer* input = bufferevent_get_input(stream_);
  while (stream_ != nullptr && isBusy_ && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    std::size_t used = 0;
    const bool isWellFormed = reader_.Read({ bytes, size }, used);
    if (stream_ == nullptr) {
      return; // A handler called Cancel.
    }
    evbuffer_drain(input, used);
    unmatchedBytes_ += hasMatchedHead_ ? 0 : used;
    if (!isWellFormed || unmatchedBytes_ > kMaxUnmatchedBytes) {
      Fail(ClientFailure::kMalformed);
      return;
    }
  }
  if (stream_ != nullptr && !isBusy_ && evbuffer_get_length(input) > 0) {
    // The bytes belong to no request. They are not read on, since there may be no end of them.
    Cancel();
  }
}

void ClientConnection::OnClosed(bool aIsOrderly)
{
  connectTimer_.reset();
  isUnusable_ = true;
  if (!isBusy_) {
    return;
  }
  if (!isConnected_ || !wasSent_) {
    Fail(ClientFailure::kNotConnected);
    return;
  }
  if (aIsOrderly && reader_.ReadEof()) {
    return; // OnEnd has called the handler.
  }
  if (isBusy_) {
    Fail(ClientFailure::kBroken);
  }
}

void ClientConnection::OnHead(ResponseHead aHead)
{
  isSkippingResponse_ = handlers_.matchesRequest_ && !handlers_.matchesRequest_(aHead);
  hasSkippedResponse_ = hasSkippedResponse_ || isSkippingResponse_;
  hasMatchedHead_ = !isSkippingResponse_;
  if (!isSkippingResponse_ && handlers_.onHead_) {
    handlers_.onHead_(std::move(aHead));
  }
}

void ClientConnection::OnEnd()
{
  if (isSkippingResponse_ && reader_.IsKeptAlive()) {
    isSkippingResponse_ = false;
    reader_.ExpectResponseTo(method_);
    return;
  }
  if (isSkippingResponse_) {
    Fail(ClientFailure::kBroken);
    return;
  }
  isBusy_ = false;
  // If the response arrived before the request was fully sent, the rest of the request still
  // occupies the connection.
  const bool isFullySent =
    stream_ != nullptr && evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
  const bool isReusable =
    isFullySent && reader_.IsKeptAlive() && !hasSkippedResponse_ && !isUnusable_;
  isUnusable_ = !isReusable;
  // The response may have ended while reading was paused.
  SetReading(true);
  const auto onEnd = handlers_.onEnd_;
  handlers_ = Handlers{};
  if (onEnd) {
    onEnd(isReusable);
  }
}

void ClientConnection::Fail(ClientFailure aFailure)
{
  isBusy_ = false;
  const auto onFailed = handlers_.onFailed_;
  // Closed before the failure is reported, so that no event can send the request afterwards.
  Cancel();
  if (onFailed) {
    onFailed(aFailure);
  }
}

} // namespace dandelionstand::http
