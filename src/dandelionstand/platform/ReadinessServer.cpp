#include "dandelionstand/platform/ReadinessServer.h"

namespace dandelionstand::platform {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kContentType = "text/plain";

} // namespace

ReadinessServer::ReadinessServer(common::EventLoop& aLoop,
                                 const common::Address& aListen,
                                 std::function<bool()> aIsReady)
  : server_(aLoop, aListen)
{
  server_.Handle(
    "/dandelionstand/readiness", [isReady = std::move(aIsReady)](evhttp_request* aRequest) {
      const bool ready = isReady();
      common::SendReply(
        aRequest, ready ? kOk : kUnavailable, kContentType, ready ? "ready\n" : "not ready\n");
    });
}

} // namespace dandelionstand::platform
