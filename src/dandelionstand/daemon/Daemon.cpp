#include "dandelionstand/daemon/Daemon.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/daemon/DocumentConfigSource.h"
#include "dandelionstand/daemon/PlatformPolicy.h"
#include "dandelionstand/daemon/RecordConfigSource.h"
#include "dandelionstand/daemon/StateDump.h"
#include "dandelionstand/dialect/NativeDialect.h"
#include "dandelionstand/organisations/OrganisationTable.h"
#include "dandelionstand/platform/PlatformDialect.h"
#include "dandelionstand/target/FairShareQueue.h"
#include "dandelionstand/target/UrgencyQueue.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kDrainCheckInterval = 20ms;
//! Time for the last messages to leave the process before the event loop stops.
constexpr common::Duration kFinalSendPeriod = 30ms;
//! Gives peers and callers time to learn of the stop before the listening addresses close.
constexpr common::Duration kMinDrainDuration = 1s;
//! The platform polls readiness every second and sends no more clients after two failed polls;
//! requests already under way get another second.
constexpr common::Duration kMinPlatformDrainDuration = 3'200ms;
//! Time after SIGTERM during which the local target still accepts work. The longest request on the
//! users' sites takes 1.5 s, so it finishes before the daemon ends.
constexpr common::Duration kTargetDrainDelay = 1'500ms;
//! Every request that arrives within this time after SIGTERM is accepted. The platform assumes that
//! clients cannot know of the stop during the first 3 s.
constexpr common::Duration kAcceptAllPeriod = 2'900ms;
//! The drain ends this long before the platform sends SIGKILL.
constexpr common::Duration kKillMargin = 300ms;
//! The settings file is polled because it may change without a SIGHUP.
constexpr common::Duration kSettingsCheckInterval = 2s;
//! Log lines are written in batches, which saves a system call for each line.
constexpr common::Duration kLogFlushInterval = 100ms;
constexpr double kMilliPerCore = 1000;

platform::HttpLogSettings MakeLogSettings(const Settings& aSettings)
{
  platform::HttpLogSettings log;
  log.address_ = aSettings.log_.address_;
  log.sourceAddress_ = aSettings.peers_.sourceAddress_;
  log.timeout_ = aSettings.log_.timeout_;
  return log;
}

peer::ZmqTransportSettings MakeTransportSettings(const Settings& aSettings,
                                                 common::Incarnation aIncarnation)
{
  return { .instance_ = aSettings.instance_,
           .incarnation_ = aIncarnation,
           .listen_ = aSettings.peers_.listen_,
           .advertise_ = aSettings.peers_.advertise_,
           .sourceIp_ = aSettings.peers_.sourceAddress_,
           .heartbeatInterval_ = aSettings.peers_.heartbeat_,
           .silentIntervals_ = aSettings.peers_.silentIntervals_,
           .idleClose_ = aSettings.peers_.idleClose_ };
}

peer::Member MakeSelfMember(const Settings& aSettings, common::Incarnation aIncarnation)
{
  peer::Member member;
  member.instance_ = aSettings.instance_;
  member.incarnation_ = aIncarnation;
  member.address_ = aSettings.peers_.advertise_;
  member.failureDomain_ = aSettings.failureDomain_;
  member.region_ = aSettings.region_;
  member.acceptsDeferredBodies_ = true;
  member.cpuMilli_ = static_cast<std::uint32_t>(aSettings.cpuShare_.value_or(0) * kMilliPerCore);
  return member;
}

peer::MembershipSettings MakeMembershipSettings(const Settings& aSettings)
{
  peer::MembershipSettings membership =
    aSettings.platform_ ? PlatformMembership() : peer::MembershipSettings{};
  membership.seeds_ = aSettings.peers_.seeds_;
  if (aSettings.platform_) {
    for (const common::Address& peer :
         ToPeerAddresses(aSettings.platform_->seeds_, aSettings.peers_.advertise_)) {
      membership.seeds_.push_back(peer);
    }
  }
  return membership;
}

std::unique_ptr<dialect::CallerDialect> MakeCallerDialect(const Settings& aSettings)
{
  if (aSettings.platform_) {
    return std::make_unique<platform::PlatformCallerDialect>(aSettings.platform_->service_);
  }
  return std::make_unique<dialect::NativeCallerDialect>();
}

std::unique_ptr<dialect::TargetDialect> MakeTargetDialect(const Settings& aSettings)
{
  if (aSettings.platform_) {
    return std::make_unique<platform::PlatformTargetDialect>();
  }
  return std::make_unique<dialect::NativeTargetDialect>();
}

std::unique_ptr<target::AdmissionQueue> MakeQueue(const Settings& aSettings)
{
  if (aSettings.platform_) {
    return std::make_unique<target::UrgencyQueue>();
  }
  return std::make_unique<target::FairShareQueue>(target::FairShareSettings{});
}

target::EgressSettings MakeEgressSettings(const Settings& aSettings)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  target::EgressSettings egress;
  egress.instance_ = aSettings.instance_;
  if (aSettings.linkMegabitsPerSecond_) {
    egress.bytesPerSecond_ =
      static_cast<std::uint64_t>(*aSettings.linkMegabitsPerSecond_ * kBytesPerMegabit);
  }
  return egress;
}

std::string ReadText(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

caller::CallerServerSettings MakeCallerSettings(const Settings& aSettings,
                                                common::Incarnation aIncarnation)
{
  return { .listen_ = aSettings.callers_.listen_,
           .maxBodyBytes_ = aSettings.callers_.maxBodyBytes_,
           .maxHeaderBytes_ = aSettings.callers_.maxHeaderBytes_,
           .bodyMemoryBytes_ = aSettings.callers_.bodyMemoryBytes_,
           .instance_ = aSettings.instance_,
           .incarnation_ = aIncarnation,
           .peerAddress_ = aSettings.peers_.advertise_,
           .failureDomain_ = aSettings.failureDomain_,
           .region_ = aSettings.region_,
           .seed_ = aIncarnation.Get(),
           .policy_ = aSettings.platform_ ? PlatformCallPolicy() : caller::CallPolicy{} };
}

} // namespace

Daemon::Daemon(const Settings& aSettings, std::string aSettingsFile)
  : settings_(aSettings)
  , settingsFile_(std::move(aSettingsFile))
  , settingsText_(ReadText(settingsFile_))
  , startedAt_(common::Now())
  , callerDialect_(MakeCallerDialect(aSettings))
  , targetDialect_(MakeTargetDialect(aSettings))
  , incarnation_(common::NewIncarnationNumber())
  , log_(loop_, MakeLogSettings(aSettings), counters_)
  , transport_(loop_, counters_, MakeTransportSettings(aSettings, incarnation_))
  , controlSender_(counters_, transport_, MakeSelfMember(aSettings, incarnation_))
  , membership_(loop_,
                counters_,
                controlSender_,
                transport_,
                log_,
                MakeSelfMember(aSettings, incarnation_),
                MakeMembershipSettings(aSettings))
  , forwarder_(loop_,
               counters_,
               transport_,
               *targetDialect_,
               MakeEgressSettings(aSettings),
               incarnation_,
               MakeQueue(aSettings),
               [this] { return configSource_->ActiveState(); })
  , callerServer_(
      loop_,
      counters_,
      transport_,
      log_,
      membership_,
      *callerDialect_,
      [this] { return configSource_->ActiveState(); },
      MakeCallerSettings(aSettings, incarnation_))
  , admin_(loop_, counters_, aSettings.adminListen_)
{
  if (aSettings.platform_) {
    auto source = std::make_unique<DocumentConfigSource>(
      loop_,
      counters_,
      controlSender_,
      transport_,
      log_,
      MakeSelfMember(aSettings, incarnation_),
      peer::MakeDocumentReadersSettings(aSettings.platform_->bounds_.configApplyLimit_));
    if (const auto limit = aSettings.platform_->bounds_.revocationLimit_) {
      SetUpFreshness(*source, MakeSelfMember(aSettings, incarnation_), *limit);
    }
    if (aSettings.platform_->bounds_.quotaWindow_) {
      SetUpQuotas(*source, MakeSelfMember(aSettings, incarnation_));
    }
    configSource_ = std::move(source);
  } else {
    configSource_ = std::make_unique<RecordConfigSource>(
      loop_,
      counters_,
      controlSender_,
      transport_,
      log_,
      MakeSelfMember(aSettings, incarnation_),
      peer::MakeSpreadingSettings(aSettings.profile_, aSettings.spreading_));
  }
  SetUpAdmin();
  if (aSettings.platform_) {
    SetUpPlatform();
  }
  terminateWatch_ = loop_.OnSignal(SIGTERM, [this] { OnTerminate(); });
  interruptWatch_ = loop_.OnSignal(SIGINT, [this] { OnTerminate(); });
  hangUpWatch_ = loop_.OnSignal(SIGHUP, [this] { Reload("signal"); });
  settingsCheckTimer_ = loop_.Every(kSettingsCheckInterval, [this] { ReloadIfChanged(); });
  logFlushTimer_ = loop_.Every(kLogFlushInterval, [] { common::FlushEventLog(); });
}

Daemon::~Daemon() = default;

void Daemon::SetUpAdmin()
{
  membership_.Changed().connect(sigc::mem_fun(*this, &Daemon::OnMembersChanged));
  configSource_->VersionChanged().connect(
    sigc::mem_fun(membership_, &peer::MembershipTask::SetConfigVersion));
  configSource_->VersionChanged().connect(
    [this](common::Version) { configActivatedAt_ = common::Now(); });
  callerServer_.BodySent().connect([this](std::size_t aBytes) { forwarder_.RecordEgress(aBytes); });
  admin_.SetGaugeUpdater([this] { UpdateGauges(); });
  admin_.SetStatusProvider([this] { return configSource_->Status(); });
  admin_.AddDumpSection("members", [this] { return DumpMembers(membership_.State().All()); });
  admin_.TargetAnnounced().connect(sigc::mem_fun(*this, &Daemon::OnTargetAnnounced));
  admin_.TargetLeaving().connect(sigc::mem_fun(*this, &Daemon::OnTargetLeaving));
  admin_.AddDumpSection("daemon", [this] {
    return nlohmann::json{ { "instance", settings_.instance_.Get() },
                           { "incarnation", incarnation_.Get() },
                           { "failure_domain", settings_.failureDomain_.Get() },
                           { "region", settings_.region_.Get() },
                           { "draining", isDraining_ },
                           { "in_flight", InFlight() } };
  });
  admin_.AddDumpSection("config", [this] { return DumpConfig(configSource_->ActiveState()); });
  admin_.AddDumpSection("links", [this] { return DumpLinks(); });
  admin_.AddDumpSection("queue", [this] { return DumpQueue(); });
  admin_.AddDumpSection("claims", [this] {
    return nlohmann::json{ { "open", callerServer_.GetKeyedRequests().OpenCount() },
                           { "remembered", callerServer_.GetKeyedRequests().RememberedCount() } };
  });
  admin_.AddDumpSection("roles", [this] {
    nlohmann::json roles = configSource_->DumpRoles();
    if (freshnessTask_) {
      const auto age = freshnessTask_->Age();
      roles["permissions_age_ms"] =
        age ? nlohmann::json(common::ToMilliseconds(*age)) : nlohmann::json();
      roles["permissions_proved_by"] = freshnessTask_->ProofOrigin();
    }
    return roles;
  });
}

void Daemon::UpdateGauges()
{
  const common::TimePoint now = common::Now();
  const auto secondsSince = [&](common::TimePoint aSince) {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now - aSince).count());
  };
  const peer::wire::Load load = forwarder_.CurrentLoad();
  counters_.Set("target_running", load.running());
  counters_.Set("target_queued", load.queued());
  counters_.Set("target_slots", load.slots());
  counters_.Set("caller_connections", callerServer_.ConnectionCount());
  counters_.Set("caller_requests_in_flight", callerServer_.InFlight());
  for (const auto& [service, remaining] : callerServer_.RetriesRemaining()) {
    counters_.Set("caller_retries_left{service=\"" + service.Get() + "\"}", remaining);
  }
  const peer::Members members = membership_.State().All();
  counters_.Set("members_live", static_cast<std::uint64_t>(LiveCount(members)));
  counters_.Set("members_known", members.size());
  if (const config::ConfigStatePtr config = configSource_->ActiveState()) {
    counters_.Set("config_age_seconds", secondsSince(configActivatedAt_));
    if (config->organisations_) {
      counters_.Set("organisations", config->organisations_->All().size());
      counters_.Set("organisation_keys", config->organisations_->KeyCount());
    }
  }
  counters_.Set("uptime_seconds", secondsSince(startedAt_));
}

nlohmann::json Daemon::DumpQueue() const
{
  const peer::wire::Load load = forwarder_.CurrentLoad();
  nlohmann::json dump{ { "running", load.running() },
                       { "queued", load.queued() },
                       { "slots", load.slots() } };
  if (const auto rate = forwarder_.MaxRequestsPerSecond()) {
    dump["max_requests_per_second"] = *rate;
  }
  return dump;
}

void Daemon::OnMembersChanged()
{
  const peer::Members members = membership_.State().All();
  controlSender_.SetMembers(members);
  configSource_->SetMembers(members, membership_.State().HasJoined());
  if (freshnessTask_) {
    freshnessTask_->SetMembers(members);
  }
  if (quotaTask_) {
    quotaTask_->SetMembers(members, membership_.State().UnmetCount());
  }
  callerServer_.OnMembersChanged();
  ApplyRetryBudget();
}

nlohmann::json Daemon::DumpLinks() const
{
  nlohmann::json links = nlohmann::json::array();
  for (const peer::LinkInfo& link : transport_.Links()) {
    links.push_back({ { "address", link.address_.Get() },
                      { "since_heard_us", link.sinceReceived_.count() },
                      { "since_used_us", link.sinceUsed_.count() },
                      { "waiting", link.queuedMessages_ } });
  }
  return links;
}

ExitStatus Daemon::Run()
{
  common::LogEvent(common::Severity::kInfo,
                   "started",
                   { { "incarnation", incarnation_.Get() },
                     { "callers", callerServer_.BoundAddress().Get() },
                     { "admin", admin_.BoundAddress().Get() },
                     { "peers", settings_.peers_.listen_.Get() } });
  loop_.Run();
  return exitStatus_;
}

std::size_t Daemon::InFlight() const
{
  return forwarder_.InFlight() + callerServer_.InFlight();
}

void Daemon::Reload(const char* aCause)
{
  const std::string text = ReadText(settingsFile_);
  common::Findings findings;
  const Settings newSettings = ParseSettings(text, settingsFile_, findings);
  settingsText_ = text;
  if (!findings.IsEmpty()) {
    common::LogEvent(common::Severity::kError,
                     "reload_refused",
                     { { "cause", aCause }, { "findings", findings.ToString() } });
    return;
  }
  // Addresses, instance, failure domain and region are fixed while the process runs.
  settings_.logLevel_ = newSettings.logLevel_;
  settings_.drainLimit_ = newSettings.drainLimit_;
  if (settings_.platform_ && newSettings.platform_) {
    settings_.platform_->bounds_ = newSettings.platform_->bounds_;
  }
  common::SetLogSeverity(settings_.logLevel_);
  ApplyRetryBudget();
  common::LogEvent(common::Severity::kInfo, "reloaded", { { "cause", aCause } });
}

void Daemon::ReloadIfChanged()
{
  if (ReadText(settingsFile_) != settingsText_) {
    Reload("file");
  }
}

void Daemon::OnTargetAnnounced(const common::ServiceName& aService, const common::Address& aAddress)
{
  if (isDraining_) {
    return;
  }
  const bool isReady = !aAddress.Get().empty();
  forwarder_.SetTarget({ aService, aAddress });
  membership_.AnnounceTarget(isReady ? aService : common::ServiceName());
}

void Daemon::OnTargetChanged(const common::ServiceName& aService)
{
  if (!isDraining_) {
    membership_.AnnounceTarget(aService);
  }
}

void Daemon::OnTargetLeaving()
{
  forwarder_.SetTarget({});
  membership_.AnnounceTargetLeaving();
}

void Daemon::OnTerminate()
{
  if (isDraining_) {
    Finish(InFlight() == 0 ? ExitStatus::kOk : ExitStatus::kRequestsAborted);
    return;
  }
  isDraining_ = true;
  drainStartedAt_ = common::Now();
  common::LogEvent(common::Severity::kInfo, "draining", { { "in_flight", InFlight() } });
  common::Duration limit = settings_.drainLimit_;
  if (settings_.platform_) {
    targetDrainTimer_ = loop_.After(kTargetDrainDelay, [this] { DrainTarget(); });
    // Clients keep arriving until the platform finds this daemon not ready; they are still served.
    const common::Duration stopTime = settings_.platform_->bounds_.gracePeriod_;
    limit = stopTime - std::min(stopTime, kKillMargin);
    callerServer_.CloseConnections();
    callerServer_.StartDrain(
      { .acceptAllPeriod_ = std::min(kAcceptAllPeriod, limit / 2), .drainPeriod_ = limit });
  } else {
    DrainTarget();
    callerServer_.RefuseNewRequests();
  }
  drainCheckTimer_ = loop_.Every(kDrainCheckInterval, [this] { FinishIfDrained(); });
  drainLimitTimer_ = loop_.After(
    limit, [this] { Finish(InFlight() == 0 ? ExitStatus::kOk : ExitStatus::kRequestsAborted); });
}

void Daemon::DrainTarget()
{
  membership_.AnnounceTargetLeaving();
  forwarder_.StartDrain();
}

void Daemon::FinishIfDrained()
{
  const common::Duration minDuration =
    settings_.platform_ ? kMinPlatformDrainDuration : kMinDrainDuration;
  if (InFlight() == 0 && common::Now() - drainStartedAt_ >= minDuration) {
    Finish(ExitStatus::kOk);
  }
}

void Daemon::Finish(ExitStatus aStatus)
{
  exitStatus_ = aStatus;
  const bool hasAbortedRequests = aStatus == ExitStatus::kRequestsAborted;
  common::LogEvent(hasAbortedRequests ? common::Severity::kError : common::Severity::kInfo,
                   "stopped",
                   { { "cut", hasAbortedRequests ? InFlight() : 0 } });
  drainCheckTimer_.reset();
  drainLimitTimer_.reset();
  callerServer_.RefuseNewRequests();
  membership_.Stop();
  finalSendTimer_ = loop_.After(kFinalSendPeriod, [this] { loop_.Stop(); });
}

} // namespace dandelionstand::daemon
