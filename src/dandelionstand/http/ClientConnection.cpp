#include "dandelionstand/http/ClientConnection.h"

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

bool AllowsBody(const std::string& aMethod)
{
  return aMethod != "GET" && aMethod != "HEAD";
}

} // namespace

ClientConnection::ClientConnection(common::EventLoop& aLoop,
                                   const common::HostAndPort& aServer,
                                   common::Duration aConnectTime)
  : loop_(aLoop)
  , server_(aServer)
  , stream_(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , reader_({ [this](ResponseHead aHead) { OnHead(std::move(aHead)); },
              [this](std::string_view aData) {
                if (!isForeign_ && handlers_.onBody_) {
                  handlers_.onBody_(aData);
                }
              },
              [this] { OnEnd(); } })
{
  bufferevent_setcb(stream_, &OnReadable, nullptr, &OnEvent, this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  connectTimer_ = loop_.After(aConnectTime, [this] { OnClosed(false); });
  sockaddr_in address = SocketAddressOf(aServer);
  if (bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    // The failure is reported from the event loop, as any other.
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
  isForeign_ = false;
  sawForeign_ = false;
  wasSent_ = false;
  idleEnded_ = nullptr;
  reader_.Expect(method_);
  Write(aRequest);
}

void ClientConnection::Write(const ClientRequest& aRequest)
{
  std::string text = aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const Header& header : aRequest.headers_) {
    text += header.name_ + ": " + header.value_ + "\r\n";
  }
  if (!aRequest.body_.empty() || AllowsBody(aRequest.method_)) {
    text += "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  text += "\r\n";
  text += aRequest.body_;
  if (!isConnected_) {
    waiting_ = std::move(text);
    return;
  }
  wasSent_ = true;
  bufferevent_write(stream_, text.data(), text.size());
}

void ClientConnection::Cancel()
{
  handlers_ = Handlers{};
  idleEnded_ = nullptr;
  isUnusable_ = true;
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
  static_cast<ClientConnection*>(aSelf)->Read();
}

void ClientConnection::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  auto* self = static_cast<ClientConnection*>(aSelf);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->OnConnected();
  } else if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self->OnClosed((aWhat & BEV_EVENT_EOF) != 0);
  }
}

void ClientConnection::OnConnected()
{
  connectTimer_.reset();
  isConnected_ = true;
  const int on = 1;
  setsockopt(bufferevent_getfd(stream_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (!waiting_.empty()) {
    wasSent_ = true;
    const std::string text = std::exchange(waiting_, std::string());
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
      return; // A handler cancelled.
    }
    evbuffer_drain(input, used);
    if (!isWellFormed) {
      Fail(ClientFailure::kMalformed);
      return;
    }
  }
  if (stream_ != nullptr && !isBusy_ && evbuffer_get_length(input) > 0) {
    // Surplus bytes belong to no request.
    isUnusable_ = true;
    evbuffer_drain(input, evbuffer_get_length(input));
    if (const auto ended = std::exchange(idleEnded_, nullptr)) {
      ended();
    }
  }
}

void ClientConnection::OnClosed(bool aInOrder)
{
  connectTimer_.reset();
  isUnusable_ = true;
  if (!isBusy_) {
    if (const auto ended = std::exchange(idleEnded_, nullptr)) {
      ended();
    }
    return;
  }
  if (!isConnected_ || !wasSent_) {
    Fail(ClientFailure::kNotConnected);
    return;
  }
  if (aInOrder && reader_.ReadEnd()) {
    return; // OnEnd has reported it.
  }
  if (isBusy_) {
    Fail(ClientFailure::kBroken);
  }
}

void ClientConnection::OnHead(ResponseHead aHead)
{
  isForeign_ = handlers_.isOwn_ && !handlers_.isOwn_(aHead);
  sawForeign_ = sawForeign_ || isForeign_;
  if (!isForeign_ && handlers_.onHead_) {
    handlers_.onHead_(std::move(aHead));
  }
}

void ClientConnection::OnEnd()
{
  if (isForeign_ && reader_.IsKeptAlive()) {
    isForeign_ = false;
    reader_.Expect(method_);
    return;
  }
  if (isForeign_) {
    Fail(ClientFailure::kBroken);
    return;
  }
  isBusy_ = false;
  // A request that was answered before it was sent whole leaves bytes behind it.
  const bool isSentWhole =
    stream_ != nullptr && evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
  const bool isReusable = isSentWhole && reader_.IsKeptAlive() && !sawForeign_ && !isUnusable_;
  isUnusable_ = !isReusable;
  const auto onEnd = handlers_.onEnd_;
  handlers_ = Handlers{};
  if (onEnd) {
    onEnd(isReusable);
  }
}

void ClientConnection::Fail(ClientFailure aFailure)
{
  isBusy_ = false;
  isUnusable_ = true;
  const auto onFailed = handlers_.onFailed_;
  handlers_ = Handlers{};
  if (onFailed) {
    onFailed(aFailure);
  }
}

} // namespace dandelionstand::http
