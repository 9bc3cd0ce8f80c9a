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

//! HTTP server for operators and the local target: metrics, dump, status, log level and target
//! announcements.
class AdminServer
{
public:
  using JsonProvider = std::function<nlohmann::json()>;

  AdminServer(common::EventLoop& aLoop,
              const common::Counters& aCounters,
              const common::Address& aListen);

  const common::Address& BoundAddress() const { return server_.BoundAddress(); }

  //! Adds a section to the answer of GET /dump.
  void AddDumpSection(const std::string& aName, JsonProvider aProvider);
  //! Sets the function that updates the gauges before each answer of GET /metrics.
  void SetGaugeUpdater(std::function<void()> aUpdater) { gaugeUpdater_ = std::move(aUpdater); }
  //! Sets the provider of the answer of GET /status.
  void SetStatusProvider(JsonProvider aStatusProvider)
  {
    statusProvider_ = std::move(aStatusProvider);
  }

  //! Emitted when the target announces itself; the address is empty if it is not ready.
  sigc::signal<void, const common::ServiceName&, const common::Address&>& TargetAnnounced()
  {
    return targetAnnounced_;
  }
  //! Emitted when the target announces that it is about to stop.
  sigc::signal<void>& TargetLeaving() { return targetLeaving_; }

private:
  void OnDump(evhttp_request* aRequest);
  void OnLogLevel(evhttp_request* aRequest);
  void OnAnnounce(evhttp_request* aRequest);

  const common::Counters& counters_;
  common::HttpServer server_;
  std::map<std::string, JsonProvider> dumpSections_;
  JsonProvider statusProvider_;
  std::function<void()> gaugeUpdater_;
  sigc::signal<void, const common::ServiceName&, const common::Address&> targetAnnounced_;
  sigc::signal<void> targetLeaving_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_AdminServer_h
