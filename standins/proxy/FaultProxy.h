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

//! Passes TCP connections on, with the faults of the border that each one crosses. The border is
//! given by the source IP and the IP that was connected to. Control: `POST /control`, `GET
//! /counts`.
class FaultProxy
{
public:
  FaultProxy(common::EventLoop& aLoop, const common::Address& aControl);
  ~FaultProxy();

  const common::Address& ControlAddress() const { return control_.ListeningAddress(); }
  //! Passes connections to aListen on to aForward; port 0 takes a free one. Returns the address
  //! that was bound.
  common::Address AddForward(const common::Address& aListen, const common::Address& aForward);
  //! Makes all present connections silent for good.
  void FreezeAll();

private:
  void Accept(const ConnectionPlan& aPlan);
  void ReapLater();
  void Reap();

  void OnControlRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void OnCounts(const ServerRequest& aRequest);
  void ApplyRules();
  void Freeze(BorderId aBorder);

  common::EventLoop& loop_;
  Borders borders_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::list<std::unique_ptr<ProxiedConnection>> connections_;
  std::unique_ptr<common::Watch> reaper_;
  HttpServer control_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_FaultProxy_h
