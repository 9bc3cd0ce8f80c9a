#ifndef dandelionstand_standins_target_TargetServer_h
#define dandelionstand_standins_target_TargetServer_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace dandelionstand::standins {

//! A target of one service. Each answer carries the identity of its request.
class TargetServer
{
public:
  TargetServer(common::EventLoop& aLoop, const common::Address& aListen, std::string aService);

  const common::Address& ListeningAddress() const { return server_.ListeningAddress(); }
  std::uint64_t InFlight() const { return inFlight_; }

private:
  void OnRequest(const ServerRequest& aRequest);

  common::EventLoop& loop_;
  std::string service_;
  std::uint64_t inFlight_ = 0;
  HttpServer server_;
};

//! The body of an answer: the identity, filler and the identity again, aBytes long or as short as
//! the two identities allow.
std::string IdentityBody(const std::string& aIdentity, std::uint64_t aBytes);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_TargetServer_h
