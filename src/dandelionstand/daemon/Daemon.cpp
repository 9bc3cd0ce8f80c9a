#include "dandelionstand/daemon/Daemon.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/config/Document.h"
#include "dandelionstand/daemon/DocumentConfig.h"
#include "dandelionstand/daemon/PlatformPolicy.h"
#include "dandelionstand/daemon/PublishedConfig.h"
#include "dandelionstand/dialect/NativeDialect.h"
#include "dandelionstand/platform/HttpDialect.h"
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
constexpr common::Duration kFlushTime = 30ms;
//! Time for peers and callers to hear of the leaving before the addresses close.
constexpr common::Duration kDrainAtLeast = 1s;
//! The platform asks every second whether clients may come, and sends none after two misses; those
//! that are on their way get another second.
constexpr common::Duration kClientsLeave = 3'200ms;
//! Until then the target beside a stopping daemon goes on taking work. The longest work of the
//! sites, 1.5 s, still ends before the daemon does.
constexpr common::Duration kTargetServesOn = 1'500ms;
//! Every request that comes within this time of the signal is taken. The platform counts requests
//! of the first 3 s as sent by clients that cannot know of the stop yet.
constexpr common::Duration kTakesAll = 2'900ms;
//! The process ends so long before the platform kills it.
constexpr common::Duration kEndBefore = 300ms;
//! A daemon without peers by then is alone, and serves what its own target can.
constexpr common::Duration kLoneStart = 2s;
//! The settings file may change without a signal.
constexpr common::Duration kSettingsCheck = 2s;
//! Lines of the log are written together, which saves a system call for each.
constexpr common::Duration kLogFlush = 100ms;

platform::HttpLogSettings LogSettingsOf(const Settings& aSettings)
{
  platform::HttpLogSettings log;
  log.address_ = aSettings.log_.address_;
  log.sourceAddress_ = aSettings.peers_.sourceAddress_;
  log.timeout_ = aSettings.log_.timeout_;
  return log;
}

peer::ZmqTransportSettings TransportSettingsOf(const Settings& aSettings,
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

peer::Member MemberOf(const Settings& aSettings, common::Incarnation aIncarnation)
{
  peer::Member member;
  member.instance_ = aSettings.instance_;
  member.incarnation_ = aIncarnation;
  member.address_ = aSettings.peers_.advertise_;
  member.failureDomain_ = aSettings.failureDomain_;
  member.region_ = aSettings.region_;
  return member;
}

peer::MembershipSettings MembershipSettingsOf(const Settings& aSettings)
{
  peer::MembershipSettings membership =
    aSettings.platform_ ? PlatformMembership() : peer::MembershipSettings{};
  membership.seeds_ = aSettings.peers_.seeds_;
  if (aSettings.platform_) {
    for (const common::Address& peer :
         PeersAt(aSettings.platform_->seeds_, aSettings.peers_.advertise_)) {
      membership.seeds_.push_back(peer);
    }
  }
  return membership;
}

std::unique_ptr<dialect::CallerDialect> MakeCallerDialect(const Settings& aSettings)
{
  if (aSettings.platform_) {
    return std::make_unique<platform::HttpCallerDialect>(aSettings.platform_->service_);
  }
  return std::make_unique<dialect::NativeCallerDialect>();
}

std::unique_ptr<dialect::TargetDialect> MakeTargetDialect(const Settings& aSettings)
{
  if (aSettings.platform_) {
    return std::make_unique<platform::HttpTargetDialect>();
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

std::ptrdiff_t LiveCount(const peer::Members& aMembers)
{
  return std::count_if(
    aMembers.begin(), aMembers.end(), [](const peer::Member& aMember) { return aMember.IsLive(); });
}

std::string ReadText(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

caller::CallerServerSettings CallerSettingsOf(const Settings& aSettings,
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
  , log_(loop_, LogSettingsOf(aSettings), counters_)
  , transport_(loop_, counters_, TransportSettingsOf(aSettings, incarnation_))
  , control_(counters_, transport_, MemberOf(aSettings, incarnation_))
  , membership_(loop_,
                control_,
                transport_,
                log_,
                MemberOf(aSettings, incarnation_),
                MembershipSettingsOf(aSettings))
  , forwarder_(loop_,
               counters_,
               transport_,
               *targetDialect_,
               incarnation_,
               MakeQueue(aSettings),
               [this] { return config_->InForce(); })
  , callerServer_(
      loop_,
      counters_,
      transport_,
      log_,
      membership_,
      *callerDialect_,
      [this] { return config_->InForce(); },
      CallerSettingsOf(aSettings, incarnation_))
  , admin_(loop_, counters_, aSettings.adminListen_)
{
  if (aSettings.platform_) {
    config_ = std::make_unique<DocumentConfig>(
      loop_, counters_, control_, transport_, log_, incarnation_.Get());
  } else {
    config_ = std::make_unique<PublishedConfig>(
      loop_,
      counters_,
      control_,
      transport_,
      log_,
      MemberOf(aSettings, incarnation_),
      peer::MakeSpreadingSettings(aSettings.profile_, aSettings.spreading_));
  }
  SetUpAdmin();
  if (aSettings.platform_) {
    SetUpPlatform();
  }
  terminate_ = loop_.OnSignal(SIGTERM, [this] { OnTerminate(); });
  interrupt_ = loop_.OnSignal(SIGINT, [this] { OnTerminate(); });
  hangUp_ = loop_.OnSignal(SIGHUP, [this] { Reload("signal"); });
  settingsCheck_ = loop_.Every(kSettingsCheck, [this] { CheckSettingsFile(); });
  logFlush_ = loop_.Every(kLogFlush, [] { common::FlushEventLog(); });
}

Daemon::~Daemon() = default;

void Daemon::SetUpAdmin()
{
  membership_.Changed().connect(sigc::mem_fun(*this, &Daemon::OnMembersChanged));
  config_->VersionChanged().connect(
    sigc::mem_fun(membership_, &peer::MembershipTask::SetConfigVersion));
  config_->VersionChanged().connect([this](common::Version) { configSince_ = common::Now(); });
  admin_.SetGauges([this] { UpdateGauges(); });
  admin_.SetStatus([this] { return config_->Status(); });
  admin_.AddDumpSection("members", [this] { return DumpMembers(); });
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
  admin_.AddDumpSection("config", [this] {
    const config::ConfigStatePtr state = config_->InForce();
    nlohmann::json dump{ { "version", state ? state->version_.Get() : 0 },
                         { "routes", state ? state->routes_.size() : 0 } };
    if (state) {
      dump["document"] = nlohmann::json::parse(config::WriteDocument(*state));
    }
    return dump;
  });
  admin_.AddDumpSection("links", [this] { return DumpLinks(); });
  admin_.AddDumpSection("queue", [this] { return DumpQueue(); });
  admin_.AddDumpSection("claims", [this] {
    return nlohmann::json{ { "open", callerServer_.GetKeyedRequests().OpenCount() },
                           { "remembered", callerServer_.GetKeyedRequests().RememberedCount() } };
  });
  admin_.AddDumpSection("roles", [this] { return config_->DumpRoles(); });
}

void Daemon::UpdateGauges()
{
  const common::TimePoint now = common::Now();
  const auto seconds = [&](common::TimePoint aSince) {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now - aSince).count());
  };
  const peer::wire::Load load = forwarder_.CurrentLoad();
  counters_.Set("target_running", load.running());
  counters_.Set("target_queued", load.queued());
  counters_.Set("target_slots", load.slots());
  counters_.Set("caller_connections", callerServer_.ConnectionCount());
  counters_.Set("caller_requests_in_flight", callerServer_.InFlight());
  for (const auto& [service, left] : callerServer_.RetriesRemaining()) {
    counters_.Set("caller_retries_left{service=\"" + service.Get() + "\"}", left);
  }
  const peer::Members members = membership_.State().All();
  counters_.Set("members_live", static_cast<std::uint64_t>(LiveCount(members)));
  counters_.Set("members_known", members.size());
  if (config_->InForce()) {
    counters_.Set("config_age_seconds", seconds(configSince_));
  }
  counters_.Set("uptime_seconds", seconds(startedAt_));
}

nlohmann::json Daemon::DumpQueue() const
{
  const peer::wire::Load load = forwarder_.CurrentLoad();
  return { { "running", load.running() }, { "queued", load.queued() }, { "slots", load.slots() } };
}

void Daemon::OnMembersChanged()
{
  const peer::Members members = membership_.State().All();
  control_.SetMembers(members);
  config_->SetMembers(members, membership_.State().HasJoined());
  ApplyRetryBudget();
}

nlohmann::json Daemon::DumpMembers() const
{
  nlohmann::json members = nlohmann::json::array();
  for (const peer::Member& member : membership_.State().All()) {
    members.push_back({ { "instance", member.instance_.Get() },
                        { "incarnation", member.incarnation_.Get() },
                        { "address", member.address_.Get() },
                        { "failure_domain", member.failureDomain_.Get() },
                        { "region", member.region_.Get() },
                        { "state", peer::ToText(member.status_) },
                        { "service", member.service_.Get() },
                        { "config_version", member.configVersion_.Get() } });
  }
  return members;
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
  return status_;
}

std::size_t Daemon::InFlight() const
{
  return forwarder_.InFlight() + callerServer_.InFlight();
}

void Daemon::SetUpPlatform()
{
  const PlatformSettings& platform = *settings_.platform_;
  targetMonitor_ = std::make_unique<target::TargetMonitor>(loop_, counters_, forwarder_);
  targetMonitor_->Changed().connect(sigc::mem_fun(*this, &Daemon::OnTargetChanged));
  endpointServer_ = std::make_unique<platform::EndpointServer>(
    loop_, counters_, platform.controlListen_, [this](const target::TargetAnnouncement& aNews) {
      targetMonitor_->OnAnnouncement(aNews);
    });
  readinessServer_ = std::make_unique<platform::ReadinessServer>(
    loop_, platform.readinessListen_, [this] { return IsReadyForClients(); });
  ApplyRetryBudget();
}

bool Daemon::IsReadyForClients() const
{
  const bool knowsPeers =
    membership_.State().HasJoined() || common::Now() - startedAt_ > kLoneStart;
  return !isDraining_ && config_->InForce() != nullptr && knowsPeers;
}

void Daemon::ApplyRetryBudget()
{
  if (!settings_.platform_) {
    return;
  }
  const auto live = LiveCount(membership_.State().All());
  callerServer_.SetRetryBudget(PlatformRetryBudget(settings_.platform_->bounds_, live));
}

void Daemon::Reload(const char* aCause)
{
  const std::string text = ReadText(settingsFile_);
  common::Findings findings;
  const Settings fresh = ParseSettings(text, settingsFile_, findings);
  settingsText_ = text;
  if (!findings.IsEmpty()) {
    common::LogEvent(common::Severity::kError,
                     "reload_refused",
                     { { "cause", aCause }, { "findings", findings.ToString() } });
    return;
  }
  // Addresses and the place of the instance hold for the life of the process.
  settings_.logLevel_ = fresh.logLevel_;
  settings_.drainLimit_ = fresh.drainLimit_;
  if (settings_.platform_ && fresh.platform_) {
    settings_.platform_->bounds_ = fresh.platform_->bounds_;
  }
  common::SetLogSeverity(settings_.logLevel_);
  ApplyRetryBudget();
  common::LogEvent(common::Severity::kInfo, "reloaded", { { "cause", aCause } });
}

void Daemon::CheckSettingsFile()
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
    Finish(InFlight() == 0 ? ExitStatus::kOk : ExitStatus::kCut);
    return;
  }
  isDraining_ = true;
  drainingSince_ = common::Now();
  common::LogEvent(common::Severity::kInfo, "draining", { { "in_flight", InFlight() } });
  common::Duration limit = settings_.drainLimit_;
  if (settings_.platform_) {
    targetDrain_ = loop_.After(kTargetServesOn, [this] { DrainTarget(); });
    // Clients go on coming until the platform has noticed; they are served meanwhile.
    const common::Duration stop = settings_.platform_->bounds_.stopTime_;
    limit = stop - std::min(stop, kEndBefore);
    callerServer_.CloseConnections();
    callerServer_.StartDrain(
      { .acceptAllPeriod_ = std::min(kTakesAll, limit / 2), .drainPeriod_ = limit });
  } else {
    DrainTarget();
    callerServer_.RefuseNewRequests();
  }
  drainCheck_ = loop_.Every(kDrainCheckInterval, [this] { CheckDrained(); });
  drainLimit_ =
    loop_.After(limit, [this] { Finish(InFlight() == 0 ? ExitStatus::kOk : ExitStatus::kCut); });
}

void Daemon::DrainTarget()
{
  membership_.AnnounceTargetLeaving();
  forwarder_.StartDrain();
}

void Daemon::CheckDrained()
{
  const common::Duration atLeast = settings_.platform_ ? kClientsLeave : kDrainAtLeast;
  if (InFlight() == 0 && common::Now() - drainingSince_ >= atLeast) {
    Finish(ExitStatus::kOk);
  }
}

void Daemon::Finish(ExitStatus aStatus)
{
  status_ = aStatus;
  const bool isCut = aStatus == ExitStatus::kCut;
  common::LogEvent(isCut ? common::Severity::kError : common::Severity::kInfo,
                   "stopped",
                   { { "cut", isCut ? InFlight() : 0 } });
  drainCheck_.reset();
  drainLimit_.reset();
  callerServer_.RefuseNewRequests();
  membership_.Stop();
  // What was sent last must leave the process.
  flush_ = loop_.After(kFlushTime, [this] { loop_.Stop(); });
}

} // namespace dandelionstand::daemon
