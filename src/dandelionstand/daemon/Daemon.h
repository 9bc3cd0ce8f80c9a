#ifndef dandelionstand_daemon_Daemon_h
#define dandelionstand_daemon_Daemon_h

#include "dandelionstand/caller/CallerServer.h"
#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/daemon/AdminServer.h"
#include "dandelionstand/daemon/ConfigSource.h"
#include "dandelionstand/daemon/Settings.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"
#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/MembershipTask.h"
#include "dandelionstand/peer/ZmqTransport.h"
#include "dandelionstand/platform/HttpLog.h"
#include "dandelionstand/platform/ReadinessServer.h"
#include "dandelionstand/platform/TargetReportServer.h"
#include "dandelionstand/target/TargetForwarder.h"
#include "dandelionstand/target/TargetMonitor.h"

#include <sigc++/trackable.h>

#include <memory>
#include <string>

namespace dandelionstand::daemon {

//! Exit statuses of the daemon's program.
enum class ExitStatus
{
  kOk = 0,
  kFailed = 1,      //!< Could not start, for example an address is taken.
  kBadSettings = 2, //!< The settings have findings; nothing was started.
  kCut = 3,         //!< The drain limit or a second SIGTERM ended requests in flight.
};

//! One daemon: both sides of a call and its part in the mesh, on one event loop.
class Daemon : public sigc::trackable
{
public:
  //! Binds all addresses; throws std::runtime_error if one is taken. aSettingsFile is read again
  //! when it changes.
  Daemon(const Settings& aSettings, std::string aSettingsFile);
  ~Daemon();

  //! Runs until a graceful shutdown has ended.
  ExitStatus Run();

private:
  void OnTargetAnnounced(const common::ServiceName& aService, const common::Address& aAddress);
  void OnTargetLeaving();
  void OnTargetChanged(const common::ServiceName& aService);
  void SetUpPlatform();
  bool IsReadyForClients() const;
  void ApplyRetryBudget();
  void Reload(const char* aCause);
  void CheckSettingsFile();
  void OnTerminate();
  void DrainTarget();
  void CheckDrained();
  void Finish(ExitStatus aStatus);
  void SetUpAdmin();
  void UpdateGauges();
  nlohmann::json DumpLinks() const;
  nlohmann::json DumpQueue() const;
  void OnMembersChanged();
  nlohmann::json DumpMembers() const;
  std::size_t InFlight() const;

  Settings settings_;
  std::string settingsFile_;
  std::string settingsText_; //!< As it was read last.
  common::TimePoint startedAt_;
  std::unique_ptr<dialect::CallerDialect> callerDialect_;
  std::unique_ptr<dialect::TargetDialect> targetDialect_;
  common::Incarnation incarnation_;
  common::EventLoop loop_;
  common::Counters counters_;
  platform::HttpLog log_;
  peer::ZmqTransport transport_;
  peer::ControlSender control_;
  peer::MembershipTask membership_;
  std::unique_ptr<ConfigSource> config_;
  target::TargetForwarder forwarder_;
  caller::CallerServer callerServer_;
  AdminServer admin_;
  std::unique_ptr<target::TargetMonitor> targetMonitor_;
  std::unique_ptr<platform::TargetReportServer> targetReportServer_;
  std::unique_ptr<platform::ReadinessServer> readinessServer_;
  std::unique_ptr<common::Watch> hangUp_;
  std::unique_ptr<common::Watch> settingsCheck_;
  std::unique_ptr<common::Watch> logFlush_;
  std::unique_ptr<common::Watch> targetDrain_;
  std::unique_ptr<common::Watch> terminate_;
  std::unique_ptr<common::Watch> interrupt_;
  std::unique_ptr<common::Watch> drainCheck_;
  std::unique_ptr<common::Watch> drainLimit_;
  std::unique_ptr<common::Watch> flush_;
  common::TimePoint configSince_; //!< When the version in force came into force.
  bool isDraining_ = false;
  common::TimePoint drainingSince_;
  ExitStatus status_ = ExitStatus::kOk;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_Daemon_h
