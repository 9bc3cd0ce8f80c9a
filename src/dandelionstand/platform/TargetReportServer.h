#ifndef dandelionstand_platform_TargetReportServer_h
#define dandelionstand_platform_TargetReportServer_h

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <functional>

namespace dandelionstand::common {
class Counters;
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::platform {

//! Takes the heartbeats and leaves of the endpoint on the own machine.
class TargetReportServer
{
public:
  using OnAnnouncement = std::function<void(const target::TargetAnnouncement&)>;

  //! The answer to a report is sent after aOnAnnouncement has returned, so it acknowledges what
  //! was done.
  TargetReportServer(common::EventLoop& aLoop,
                     common::Counters& aCounters,
                     const common::Address& aListen,
                     OnAnnouncement aOnAnnouncement);

private:
  void OnRequest(evhttp_request* aRequest);

  common::Counters& counters_;
  OnAnnouncement onAnnouncement_;
  common::HttpServer server_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_TargetReportServer_h
