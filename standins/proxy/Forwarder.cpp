#include "standins/proxy/Forwarder.h"

#include "dandelionstand/common/HttpServer.h"

#include <event2/listener.h>

#include <arpa/inet.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr int kBacklog = 512;
constexpr unsigned kSecondOctetShift = 16;
constexpr unsigned kOctetMask = 0xFF;

sockaddr_in ParseSocketAddress(const common::Address& aAddress)
{
  common::HostAndPort parsed;
  if (!common::ParseAddress(aAddress.Get(), parsed)) {
    throw std::invalid_argument("not an IP address and port: " + aAddress.Get());
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(parsed.port_);
  inet_pton(AF_INET, parsed.host_.c_str(), &address.sin_addr);
  return address;
}

DomainNumber DomainOf(const sockaddr_in& aAddress)
{
  return DomainNumber((ntohl(aAddress.sin_addr.s_addr) >> kSecondOctetShift) & kOctetMask);
}

} // namespace

Forwarder::Forwarder(common::EventLoop& aLoop,
                     const common::Address& aListen,
                     const common::Address& aForward,
                     AcceptCallback aOnAccept)
  : serverAddress_(ParseSocketAddress(aForward))
  , onAccept_(std::move(aOnAccept))
{
  const sockaddr_in listen = ParseSocketAddress(aListen);
  const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
  listener_ = evconnlistener_new_bind(aLoop.Base(),
                                      &Forwarder::OnAccept,
                                      this,
                                      flags,
                                      kBacklog,
                                      reinterpret_cast<const sockaddr*>(&listen),
                                      sizeof(listen));
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on " + aListen.Get());
  }
  socklen_t length = sizeof(boundAddress_);
  getsockname(
    evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&boundAddress_), &length);
}

Forwarder::~Forwarder()
{
  evconnlistener_free(listener_);
}

common::Address Forwarder::ListeningAddress() const
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &boundAddress_.sin_addr, text, sizeof(text));
  return common::Address(std::string(text) + ":" + std::to_string(ntohs(boundAddress_.sin_port)));
}

void Forwarder::OnAccept(evconnlistener*, int aDescriptor, sockaddr* aClient, int, void* aSelf)
{
  auto* self = static_cast<Forwarder*>(aSelf);
  AcceptedConnection accepted;
  accepted.descriptor_ = aDescriptor;
  accepted.clientAddress_ = *reinterpret_cast<const sockaddr_in*>(aClient);
  accepted.serverAddress_ = self->serverAddress_;
  accepted.borderId_ = { DomainOf(accepted.clientAddress_), DomainOf(self->boundAddress_) };
  self->onAccept_(accepted);
}

} // namespace dandelionstand::standins
