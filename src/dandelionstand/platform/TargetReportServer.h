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

//! HTTP server that receives the heartbeat and leave reports of the target on this instance.
class TargetReportServer
{
public:
  enum class Answer
  {
    kProcessed, //!< Confirms that the report was processed.
    kNotStored, //!< It cannot be confirmed at present.
    kRefused,   //!< It is not of this instance's target.
  };
  //! Answers a report. Called once from the event loop.
  using Reply = std::function<void(Answer)>;
  using OnAnnouncement = std::function<void(const target::TargetAnnouncement&, Reply)>;

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
