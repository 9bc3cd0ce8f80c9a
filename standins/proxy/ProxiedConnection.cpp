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

//! Makes the close of the descriptor a reset.
void SetReset(int aDescriptor)
{
  const linger reset{ 1, 0 };
  setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

//! A socket whose connections come from the client's IP, so that the server sees it.
int SocketFrom(const sockaddr_in& aClient)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  sockaddr_in source = aClient;
  source.sin_port = 0;
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&source), sizeof(source)) != 0) {
    close(descriptor);
    throw std::runtime_error("cannot bind to a client's IP number");
  }
  return descriptor;
}

} // namespace

void ProxiedConnection::BuffereventDeleter::operator()(bufferevent* aEvents) const
{
  bufferevent_free(aEvents);
}

ProxiedConnection::ProxiedConnection(common::EventLoop& aLoop,
                                     Borders& aBorders,
                                     const ConnectionPlan& aPlan,
                                     std::function<void()> aOnClosed)
  : loop_(aLoop)
  , plan_(aPlan)
  , onClosed_(std::move(aOnClosed))
  , there_(aBorders.At(aPlan.border_))
  , back_(aBorders.At({ aPlan.border_.to_, aPlan.border_.from_ }))
  , client_(MakeEnd(aPlan.descriptor_))
{
  ++there_.connections_;
  OnRulesChanged();
}

ProxiedConnection::~ProxiedConnection() = default;

ProxiedConnection::End ProxiedConnection::MakeEnd(int aDescriptor)
{
  End end(bufferevent_socket_new(loop_.Base(), aDescriptor, BEV_OPT_CLOSE_ON_FREE));
  if (!end) {
    throw std::bad_alloc();
  }
  bufferevent_setcb(end.get(),
                    &ProxiedConnection::OnReadable,
                    &ProxiedConnection::OnWritten,
                    &ProxiedConnection::OnEvent,
                    this);
  bufferevent_setwatermark(end.get(), EV_READ, 0, kMaxInputBytes);
  return end;
}

void ProxiedConnection::OnRulesChanged()
{
  if (isFrozen_ || isClosed_) {
    return;
  }
  if (there_.rule_.isCut_) {
    Reset();
    return;
  }
  // A handshake needs both directions.
  if (!server_ && !IsDropped()) {
    Connect();
  }
  PumpBoth();
  CloseIfFailureShows();
}

bool ProxiedConnection::IsDropped() const
{
  return there_.rule_.isDropped_ || back_.rule_.isDropped_;
}

void ProxiedConnection::Connect()
{
  server_ = MakeEnd(SocketFrom(plan_.client_));
  toServer_.emplace(loop_, there_, client_.get(), server_.get());
  toClient_.emplace(loop_, back_, server_.get(), client_.get());
  bufferevent_socket_connect(
    server_.get(), reinterpret_cast<const sockaddr*>(&plan_.forward_), sizeof(plan_.forward_));
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
  SetReset(bufferevent_getfd(client_.get()));
  if (server_) {
    SetReset(bufferevent_getfd(server_.get()));
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

void ProxiedConnection::OnEvent(bufferevent* aEvents, short aWhat, void* aSelf)
{
  auto* self = static_cast<ProxiedConnection*>(aSelf);
  // A connect that was under way when the connection was frozen still reports its result.
  if (self->isFrozen_ || self->isClosed_) {
    return;
  }
  const bool isClient = aEvents == self->client_.get();
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->isConnected_ = true;
    bufferevent_enable(self->client_.get(), EV_READ | EV_WRITE);
    bufferevent_enable(self->server_.get(), EV_READ | EV_WRITE);
    self->PumpBoth();
  } else if ((aWhat & BEV_EVENT_EOF) != 0) {
    (isClient ? self->toServer_ : self->toClient_)->EndSource();
    self->PumpBoth();
  } else if ((aWhat & BEV_EVENT_ERROR) != 0) {
    self->OnEndFailed(isClient);
  }
}

void ProxiedConnection::OnEndFailed(bool aIsClient)
{
  hasClientFailed_ = hasClientFailed_ || aIsClient;
  hasServerFailed_ = hasServerFailed_ || !aIsClient;
  CloseIfFailureShows();
}

void ProxiedConnection::CloseIfFailureShows()
{
  const bool isShown =
    (hasClientFailed_ && !there_.rule_.isDropped_) || (hasServerFailed_ && !back_.rule_.isDropped_);
  if (isShown && !isFrozen_) {
    Reset();
  }
}

} // namespace dandelionstand::standins
