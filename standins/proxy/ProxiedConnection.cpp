#include "standins/proxy/ProxiedConnection.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>
#include <unistd.h>

#include <new>
#include <stdexcept>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr std::size_t kMaxInputBytes = 65'536;

//! Makes closing the descriptor send a TCP reset.
void SetResetOnClose(int aDescriptor)
{
  const linger reset{ 1, 0 };
  setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

//! Creates a socket that connects from the client's IP, so that the server sees that address.
int MakeSocketBoundTo(const sockaddr_in& aClient)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  sockaddr_in source = aClient;
  source.sin_port = 0;
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&source), sizeof(source)) != 0) {
    close(descriptor);
    throw std::runtime_error("cannot bind to the client's IP address");
  }
  return descriptor;
}

} // namespace

void ProxiedConnection::BuffereventDeleter::operator()(bufferevent* aBufferevent) const
{
  bufferevent_free(aBufferevent);
}

ProxiedConnection::ProxiedConnection(common::EventLoop& aLoop,
                                     Borders& aBorders,
                                     const AcceptedConnection& aAccepted,
                                     std::function<void()> aOnClosed)
  : loop_(aLoop)
  , accepted_(aAccepted)
  , onClosed_(std::move(aOnClosed))
  , toServerBorder_(aBorders.At(aAccepted.borderId_))
  , toClientBorder_(aBorders.At({ aAccepted.borderId_.to_, aAccepted.borderId_.from_ }))
  , client_(MakeBufferevent(aAccepted.descriptor_))
{
  ++toServerBorder_.connections_;
  OnRulesChanged();
}

ProxiedConnection::~ProxiedConnection() = default;

ProxiedConnection::BuffereventPtr ProxiedConnection::MakeBufferevent(int aDescriptor)
{
  BuffereventPtr bufferEvent(
    bufferevent_socket_new(loop_.Base(), aDescriptor, BEV_OPT_CLOSE_ON_FREE));
  if (!bufferEvent) {
    throw std::bad_alloc();
  }
  bufferevent_setcb(bufferEvent.get(),
                    &ProxiedConnection::OnReadable,
                    &ProxiedConnection::OnWritten,
                    &ProxiedConnection::OnEvent,
                    this);
  bufferevent_setwatermark(bufferEvent.get(), EV_READ, 0, kMaxInputBytes);
  return bufferEvent;
}

void ProxiedConnection::OnRulesChanged()
{
  if (isFrozen_ || isClosed_) {
    return;
  }
  if (toServerBorder_.rule_.isCut_) {
    Reset();
    return;
  }
  // A TCP handshake needs both directions.
  if (!server_ && !IsEitherDirectionDropped()) {
    Connect();
  }
  PumpBoth();
  ResetIfErrorVisible();
}

bool ProxiedConnection::IsEitherDirectionDropped() const
{
  return toServerBorder_.rule_.isDropped_ || toClientBorder_.rule_.isDropped_;
}

void ProxiedConnection::Connect()
{
  server_ = MakeBufferevent(MakeSocketBoundTo(accepted_.clientAddress_));
  toServer_.emplace(loop_, toServerBorder_, client_.get(), server_.get());
  toClient_.emplace(loop_, toClientBorder_, server_.get(), client_.get());
  bufferevent_socket_connect(server_.get(),
                             reinterpret_cast<const sockaddr*>(&accepted_.serverAddress_),
                             sizeof(accepted_.serverAddress_));
}

void ProxiedConnection::Freeze()
{
  isFrozen_ = true;
  toServer_.reset();
  toClient_.reset();
  bufferevent_disable(client_.get(), EV_READ | EV_WRITE);
  if (server_) {
    bufferevent_disable(server_.get(), EV_READ | EV_WRITE);
  }
}

void ProxiedConnection::Reset()
{
  SetResetOnClose(bufferevent_getfd(client_.get()));
  if (server_) {
    SetResetOnClose(bufferevent_getfd(server_.get()));
  }
  Close();
}

void ProxiedConnection::Close()
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  bufferevent_disable(client_.get(), EV_READ | EV_WRITE);
  if (server_) {
    bufferevent_disable(server_.get(), EV_READ | EV_WRITE);
  }
  onClosed_();
}

void ProxiedConnection::PumpBoth()
{
  if (isFrozen_ || isClosed_ || !isConnected_) {
    return;
  }
  toServer_->Pump();
  toClient_->Pump();
  if (toServer_->IsFinished() && toClient_->IsFinished()) {
    Close();
  }
}

void ProxiedConnection::OnReadable(bufferevent*, void* aSelf)
{
  static_cast<ProxiedConnection*>(aSelf)->PumpBoth();
}

void ProxiedConnection::OnWritten(bufferevent*, void* aSelf)
{
  static_cast<ProxiedConnection*>(aSelf)->PumpBoth();
}

void ProxiedConnection::OnEvent(bufferevent* aBufferevent, short aFlags, void* aSelf)
{
  auto* self = static_cast<ProxiedConnection*>(aSelf);
  // A connect that was in progress when the connection was frozen still reports its result.
  if (self->isFrozen_ || self->isClosed_) {
    return;
  }
  const bool isClient = aBufferevent == self->client_.get();
  if ((aFlags & BEV_EVENT_CONNECTED) != 0) {
    self->isConnected_ = true;
    bufferevent_enable(self->client_.get(), EV_READ | EV_WRITE);
    bufferevent_enable(self->server_.get(), EV_READ | EV_WRITE);
    self->PumpBoth();
  } else if ((aFlags & BEV_EVENT_EOF) != 0) {
    (isClient ? self->toServer_ : self->toClient_)->OnSourceEof();
    self->PumpBoth();
  } else if ((aFlags & BEV_EVENT_ERROR) != 0) {
    self->OnError(isClient);
  }
}

void ProxiedConnection::OnError(bool aIsClient)
{
  hasClientFailed_ = hasClientFailed_ || aIsClient;
  hasServerFailed_ = hasServerFailed_ || !aIsClient;
  ResetIfErrorVisible();
}

void ProxiedConnection::ResetIfErrorVisible()
{
  const bool isVisible = (hasClientFailed_ && !toServerBorder_.rule_.isDropped_) ||
                         (hasServerFailed_ && !toClientBorder_.rule_.isDropped_);
  if (isVisible && !isFrozen_) {
    Reset();
  }
}

} // namespace dandelionstand::standins
