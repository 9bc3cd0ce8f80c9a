#ifndef dandelionstand_daemon_AdminServer_h
#define dandelionstand_daemon_AdminServer_h

#include "dandelionstand/common/HttpServer.h"

#include <nlohmann/json.hpp>
#include <sigc++/signal.h>

#include <functional>
#include <map>
#include <string>

namespace dandelionstand::common {
class Counters;
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::daemon {

//! HTTP for operators and for the target beside the daemon: metrics, dump, status, announcements.
class AdminServer
{
public:
  using Section = std::function<nlohmann::json()>;

  AdminServer(common::EventLoop& aLoop,
              const common::Counters& aCounters,
              const common::Address& aListen);

  const common::Address& BoundAddress() const { return server_.BoundAddress(); }

  //! Adds a section to the answer of GET /dump.
  void AddDumpSection(const std::string& aName, Section aSection);
  //! Called before GET /metrics is answered, to bring the gauges up to date.
  void SetGauges(std::function<void()> aUpdate) { updateGauges_ = std::move(aUpdate); }
  //! Sets the answer of GET /status.
  void SetStatus(Section aStatus) { status_ = std::move(aStatus); }

  //! Emitted when the target announces itself; the address is empty while it is not ready.
  sigc::signal<void, const common::ServiceName&, const common::Address&>& TargetAnnounced()
  {
    return targetAnnounced_;
  }
  //! Emitted when the target says that it leaves.
  sigc::signal<void>& TargetLeaving() { return targetLeaving_; }

private:
  void OnDump(evhttp_request* aRequest);
  void OnLogLevel(evhttp_request* aRequest);
  void OnAnnounce(evhttp_request* aRequest);

  const common::Counters& counters_;
  common::HttpServer server_;
  std::map<std::string, Section> sections_;
  Section status_;
  std::function<void()> updateGauges_;
  sigc::signal<void, const common::ServiceName&, const common::Address&> targetAnnounced_;
  sigc::signal<void> targetLeaving_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_AdminServer_h
