#ifndef dandelionstand_daemon_Daemon_h
#define dandelionstand_daemon_Daemon_h

#include "dandelionstand/caller/CallerServer.h"
#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/daemon/AdminServer.h"
#include "dandelionstand/daemon/ConfigSource.h"
#include "dandelionstand/daemon/Settings.h"
#include "dandelionstand/daemon/WithdrawalTask.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"
#include "dandelionstand/freshness/FreshnessTask.h"
#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/MembershipTask.h"
#include "dandelionstand/peer/ZmqTransport.h"
#include "dandelionstand/platform/HttpLog.h"
#include "dandelionstand/platform/ReadinessServer.h"
#include "dandelionstand/platform/TargetReportServer.h"
#include "dandelionstand/quota/QuotaTask.h"
#include "dandelionstand/target/TargetForwarder.h"
#include "dandelionstand/target/TargetMonitor.h"

#include <sigc++/trackable.h>

#include <cstddef>
#include <memory>
#include <string>

namespace dandelionstand::daemon {

class DocumentConfigSource;

//! Exit statuses of dandelion-daemon.
enum class ExitStatus
{
  kOk = 0,
  kFailed = 1,          //!< Startup failed, for example because an address is in use.
  kInvalidSettings = 2, //!< The settings have findings; nothing was started.
  kRequestsAborted = 3, //!< The drain limit or a second signal aborted requests in flight.
};

//! One daemon: the caller and target sides of calls and the control plane, on one event loop.
class Daemon : public sigc::trackable
{
public:
  //! Binds all addresses; throws std::runtime_error if one is in use. aSettingsFile is reloaded
  //! when it changes.
  Daemon(const Settings& aSettings, std::string aSettingsFile);
  ~Daemon();

  //! Runs until a graceful shutdown is complete.
  ExitStatus Run();

private:
  void OnTargetAnnounced(const common::ServiceName& aService, const common::Address& aAddress);
  void OnTargetLeaving();
  void OnTargetChanged(const common::ServiceName& aService);
  void SetUpPlatform();
  //! Requests that need a key are served only while the permissions are confirmed.
  void SetUpFreshness(DocumentConfigSource& aConfigSource,
                      const peer::Member& aSelf,
                      common::Duration aRevocationLimit);
  //! Requests of organisations are served within their quotas.
  void SetUpQuotas(DocumentConfigSource& aConfigSource, const peer::Member& aSelf);
  static std::ptrdiff_t LiveCount(const peer::Members& aMembers);
  bool IsReadyForClients() const;
  void ApplyRetryBudget();
  void Reload(const char* aCause);
  void ReloadIfChanged();
  void OnTerminate();
  void DrainTarget();
  void FinishIfDrained();
  void Finish(ExitStatus aStatus);
  void SetUpAdmin();
  void UpdateGauges();
  nlohmann::json DumpLinks() const;
  nlohmann::json DumpQueue() const;
  void OnMembersChanged();
  std::size_t InFlight() const;

  Settings settings_;
  std::string settingsFile_;
  std::string settingsText_; //!< Content at the last read.
  common::TimePoint startedAt_;
  std::unique_ptr<dialect::CallerDialect> callerDialect_;
  std::unique_ptr<dialect::TargetDialect> targetDialect_;
  common::Incarnation incarnation_;
  common::EventLoop loop_;
  common::Counters counters_;
  platform::HttpLog log_;
  peer::ZmqTransport transport_;
  peer::ControlSender controlSender_;
  peer::MembershipTask membership_;
  std::unique_ptr<ConfigSource> configSource_;
  target::TargetForwarder forwarder_;
  caller::CallerServer callerServer_;
  AdminServer admin_;
  std::unique_ptr<freshness::FreshnessTask> freshnessTask_; //!< Null if permissions do not expire.
  std::unique_ptr<quota::QuotaTask> quotaTask_;             //!< Null if quotas are not enforced.
  std::unique_ptr<target::TargetMonitor> targetMonitor_;
  std::unique_ptr<WithdrawalTask> withdrawalTask_;
  std::unique_ptr<platform::TargetReportServer> targetReportServer_;
  std::unique_ptr<platform::ReadinessServer> readinessServer_;
  std::unique_ptr<common::Watch> hangUpWatch_;
  std::unique_ptr<common::Watch> settingsCheckTimer_;
  std::unique_ptr<common::Watch> logFlushTimer_;
  std::unique_ptr<common::Watch> targetDrainTimer_;
  std::unique_ptr<common::Watch> terminateWatch_;
  std::unique_ptr<common::Watch> interruptWatch_;
  std::unique_ptr<common::Watch> drainCheckTimer_;
  std::unique_ptr<common::Watch> drainLimitTimer_;
  std::unique_ptr<common::Watch> finalSendTimer_;
  common::TimePoint configActivatedAt_;
  bool isDraining_ = false;
  common::TimePoint drainStartedAt_;
  ExitStatus exitStatus_ = ExitStatus::kOk;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_Daemon_h
