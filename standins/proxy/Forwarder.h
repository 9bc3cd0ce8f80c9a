#ifndef dandelionstand_standins_proxy_Forwarder_h
#define dandelionstand_standins_proxy_Forwarder_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"
#include "standins/proxy/ProxiedConnection.h"

#include <functional>

struct evconnlistener;
struct sockaddr;

namespace dandelionstand::standins {

//! Accepts the connections of one listening socket of the fault proxy.
class Forwarder
{
public:
  using AcceptCallback = std::function<void(const AcceptedConnection&)>;

  //! Throws std::runtime_error if the address cannot be bound.
  Forwarder(common::EventLoop& aLoop,
            const common::Address& aListen,
            const common::Address& aForward,
            AcceptCallback aOnAccept);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  common::Address ListeningAddress() const;

private:
  static void OnAccept(evconnlistener* aListener,
                       int aDescriptor,
                       sockaddr* aClient,
                       int aLength,
                       void* aSelf);

  sockaddr_in serverAddress_;
  AcceptCallback onAccept_;
  evconnlistener* listener_;
  sockaddr_in boundAddress_{};
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_Forwarder_h
