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
constexpr unsigned kSecondPartShift = 16;
constexpr unsigned kPartMask = 0xFF;

sockaddr_in ParseSocketAddress(const common::Address& aAddress)
{
  common::HostAndPort parsed;
  if (!common::ParseAddress(aAddress.Get(), parsed)) {
    throw std::invalid_argument("not an IP number and port: " + aAddress.Get());
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(parsed.port_);
  inet_pton(AF_INET, parsed.host_.c_str(), &address.sin_addr);
  return address;
}

DomainNumber DomainOf(const sockaddr_in& aAddress)
{
  return DomainNumber((ntohl(aAddress.sin_addr.s_addr) >> kSecondPartShift) & kPartMask);
}

} // namespace

Forwarder::Forwarder(common::EventLoop& aLoop,
                     const common::Address& aListen,
                     const common::Address& aForward,
                     AcceptAction aOnAccept)
  : forward_(ParseSocketAddress(aForward))
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
  socklen_t length = sizeof(bound_);
  getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound_), &length);
}

Forwarder::~Forwarder()
{
  evconnlistener_free(listener_);
}

common::Address Forwarder::ListeningAddress() const
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &bound_.sin_addr, text, sizeof(text));
  return common::Address(std::string(text) + ":" + std::to_string(ntohs(bound_.sin_port)));
}

void Forwarder::OnAccept(evconnlistener*, int aDescriptor, sockaddr* aClient, int, void* aSelf)
{
  auto* self = static_cast<Forwarder*>(aSelf);
  ConnectionPlan plan;
  plan.descriptor_ = aDescriptor;
  plan.client_ = *reinterpret_cast<const sockaddr_in*>(aClient);
  plan.forward_ = self->forward_;
  plan.border_ = { DomainOf(plan.client_), DomainOf(self->bound_) };
  self->onAccept_(plan);
}

} // namespace dandelionstand::standins
