#include "dandelionstand/http/Server.h"

#include "dandelionstand/common/HttpServer.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace dandelionstand::http {

namespace {

//! Maximum number of connections that the kernel queues until they are accepted.
constexpr int kBacklog = 512;

sockaddr_in SocketAddressOf(const common::Address& aAddress)
{
  common::HostAndPort parsed;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (!common::ParseAddress(aAddress.Get(), parsed) ||
      inet_pton(AF_INET, parsed.host_.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IPv4 address and port: " + aAddress.Get());
  }
  address.sin_port = htons(parsed.port_);
  return address;
}

common::Address BoundAddressOf(evconnlistener* aListener)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(aListener), reinterpret_cast<sockaddr*>(&address), &size);
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
  return common::Address(std::string(host) + ":" + std::to_string(ntohs(address.sin_port)));
}

} // namespace

Server::Server(common::EventLoop& aLoop, const common::Address& aListenAddress, Handlers aHandlers)
  : loop_(aLoop)
  , handlers_(std::move(aHandlers))
{
  const sockaddr_in address = SocketAddressOf(aListenAddress);
  listener_ = evconnlistener_new_bind(loop_.Base(),
                                      &OnAccept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      kBacklog,
                                      reinterpret_cast<const sockaddr*>(&address),
                                      sizeof(address));
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen at " + aListenAddress.Get() + ": " +
                             std::strerror(errno));
  }
  boundAddress_ = BoundAddressOf(listener_);
}

Server::~Server()
{
  evconnlistener_free(listener_);
}

void Server::StartClosing()
{
  isClosing_ = true;
  for (const auto& entry : connections_) {
    entry.second->CloseAfterNextResponse();
  }
}

void Server::OnAccept(evconnlistener*, int aDescriptor, sockaddr*, int, void* aSelf)
{
  auto* self = static_cast<Server*>(aSelf);
  self->loop_.Perform([self, aDescriptor] { self->AddConnection(aDescriptor); });
}

void Server::AddConnection(int aDescriptor)
{
  const ServerConnection::Handlers handlers{ handlers_.onRequest_,
                                             handlers_.onRejected_,
                                             [this](ServerConnection& aConnection) {
                                               OnClosed(aConnection);
                                             },
                                             handlers_.limits_,
                                             handlers_.onAbandoned_ };
  auto connection = std::make_unique<ServerConnection>(loop_, aDescriptor, handlers);
  ServerConnection& added = *connection;
  connections_.emplace(&added, std::move(connection));
  if (isClosing_) {
    added.CloseAfterNextResponse();
  }
}

void Server::OnClosed(ServerConnection& aConnection)
{
  auto closed = connections_.extract(&aConnection);
  if (closed.empty()) {
    return;
  }
  closedConnections_.push_back(std::move(closed.mapped()));
  if (!reaperTimer_) {
    reaperTimer_ = loop_.After(common::Duration(0), [this] {
      reaperTimer_.reset();
      closedConnections_.clear();
    });
  }
}

} // namespace dandelionstand::http
