#ifndef dandelionstand_standins_proxy_FaultProxy_h
#define dandelionstand_standins_proxy_FaultProxy_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
#include "standins/proxy/Border.h"
#include "standins/proxy/ProxiedConnection.h"

#include <list>
#include <memory>
#include <vector>

namespace dandelionstand::standins {

class Forwarder;

//! Forwards TCP connections and injects the faults of the border that each of them crosses. The
//! client's IP and the IP that it connected to give the border. Control: `POST /control`,
//! `GET /counts`.
class FaultProxy
{
public:
  FaultProxy(common::EventLoop& aLoop, const common::Address& aControl);
  ~FaultProxy();

  const common::Address& ControlAddress() const { return control_.ListeningAddress(); }
  //! Forwards connections to aListen to the server at aForward; port 0 in aListen selects a free
  //! port. Returns the address that was bound.
  common::Address AddForward(const common::Address& aListen, const common::Address& aForward);
  //! Stops forwarding on all present connections for good, but leaves them open.
  void FreezeAll();

private:
  void Accept(const AcceptedConnection& aAccepted);
  void ScheduleCleanup();
  void RemoveClosedConnections();

  void OnRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void SendCounts(const ServerRequest& aRequest);
  void ApplyRules();
  void Freeze(BorderId aBorder);

  common::EventLoop& loop_;
  Borders borders_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::list<std::unique_ptr<ProxiedConnection>> connections_;
  std::unique_ptr<common::Watch> cleanupTimer_;
  HttpServer control_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_FaultProxy_h
