#include "standins/target/TargetServer.h"

#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr int kOk = 200;
constexpr std::uint64_t kDefaultBodyBytes = 1024;

} // namespace

std::string IdentityBody(const std::string& aIdentity, std::uint64_t aBytes)
{
  const std::uint64_t least = 2 * (aIdentity.size() + 1);
  const std::uint64_t filler = aBytes > least ? aBytes - least : 0;
  return aIdentity + "\n" + std::string(filler, '.') + "\n" + aIdentity;
}

TargetServer::TargetServer(common::EventLoop& aLoop,
                           const common::Address& aListen,
                           std::string aService)
  : loop_(aLoop)
  , service_(std::move(aService))
  , server_(aLoop, aListen, [this](const ServerRequest& aRequest) { OnRequest(aRequest); })
{
}

void TargetServer::OnRequest(const ServerRequest& aRequest)
{
  const std::string identity = aRequest.Header("request-identity");
  const std::uint64_t bytes = aRequest.QueryNumber("bytes", kDefaultBodyBytes);
  aRequest.responder_->Send(kOk,
                            { { "Content-Type", "text/plain" },
                              { "Request-Identity", identity },
                              { "Target-Service", service_ } },
                            IdentityBody(identity, bytes));
}

} // namespace dandelionstand::standins
