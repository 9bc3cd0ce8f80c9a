#ifndef dandelionstand_platform_ReadinessServer_h
#define dandelionstand_platform_ReadinessServer_h

#include "dandelionstand/common/HttpServer.h"

#include <functional>

namespace dandelionstand::common {
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::platform {

//! HTTP server for the platform's readiness checks, which decide whether clients are routed to this
//! daemon.
class ReadinessServer
{
public:
  ReadinessServer(common::EventLoop& aLoop,
                  const common::Address& aListen,
                  std::function<bool()> aIsReady);

private:
  common::HttpServer server_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ReadinessServer_h
