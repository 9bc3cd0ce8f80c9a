#include "dandelionstand/daemon/Daemon.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/config/Document.h"

#include <sigc++/functors/mem_fun.h>

#include <csignal>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kDrainCheckInterval = 20ms;
constexpr common::Duration kFlushTime = 30ms;
//! Time for peers and callers to hear of the leaving before the addresses close.
constexpr common::Duration kDrainAtLeast = 1s;

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
  peer::MembershipSettings membership;
  membership.seeds_ = aSettings.peers_.seeds_;
  return membership;
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
           .seed_ = aIncarnation.Get() };
}

} // namespace

Daemon::Daemon(const Settings& aSettings)
  : settings_(aSettings)
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
  , spreading_(loop_,
               counters_,
               control_,
               transport_,
               log_,
               MemberOf(aSettings, incarnation_),
               peer::MakeSpreadingSettings(aSettings.profile_, aSettings.spreading_))
  , forwarder_(loop_, counters_, transport_, incarnation_, [this] { return spreading_.InForce(); })
  , callerServer_(
      loop_,
      counters_,
      transport_,
      log_,
      membership_,
      [this] { return spreading_.InForce(); },
      CallerSettingsOf(aSettings, incarnation_))
  , admin_(loop_, counters_, aSettings.adminListen_)
{
  SetUpAdmin();
  terminate_ = loop_.OnSignal(SIGTERM, [this] { OnTerminate(); });
  interrupt_ = loop_.OnSignal(SIGINT, [this] { OnTerminate(); });
}

Daemon::~Daemon() = default;

void Daemon::SetUpAdmin()
{
  membership_.Changed().connect(sigc::mem_fun(*this, &Daemon::OnMembersChanged));
  spreading_.VersionChanged().connect(
    sigc::mem_fun(membership_, &peer::MembershipTask::SetConfigVersion));
  admin_.SetStatus([this] { return Status(); });
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
    const config::ConfigStatePtr state = spreading_.InForce();
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
    return nlohmann::json{ { "open", callerServer_.Orders().Open() },
                           { "remembered", callerServer_.Orders().Remembered() } };
  });
  admin_.AddDumpSection("roles", [this] {
    return nlohmann::json{ { "reads_log", spreading_.State().IsReader() } };
  });
}

nlohmann::json Daemon::DumpQueue() const
{
  const peer::wire::Load load = forwarder_.LoadNow();
  return { { "running", load.running() }, { "queued", load.queued() }, { "slots", load.slots() } };
}

void Daemon::OnMembersChanged()
{
  const peer::Members members = membership_.State().All();
  control_.SetMembers(members);
  spreading_.SetMembers(members, membership_.State().HasJoined());
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

nlohmann::json Daemon::Status()
{
  nlohmann::json domains = nlohmann::json::object();
  for (const peer::DomainVersions& domain : spreading_.Versions()) {
    nlohmann::json inForce = nlohmann::json::object();
    for (const auto& [version, members] : domain.inForce_) {
      inForce[std::to_string(version.Get())] = members;
    }
    nlohmann::json lagging = nlohmann::json::array();
    for (const common::InstanceId& instance : domain.lagging_) {
      lagging.push_back(instance.Get());
    }
    domains[domain.failureDomain_.Get()] = { { "members", domain.members_ },
                                             { "in_force", std::move(inForce) },
                                             { "lagging", std::move(lagging) } };
  }
  const config::ConfigStatePtr state = spreading_.InForce();
  const peer::VersionFloor::Decision decision = spreading_.MayServe();
  return { { "version", state ? state->version_.Get() : 0 },
           { "serves", decision.mayServe_ },
           { "reason", peer::ToText(decision.reason_) },
           { "reads_log", spreading_.State().IsReader() },
           { "failure_domains", std::move(domains) } };
}

nlohmann::json Daemon::DumpLinks() const
{
  nlohmann::json links = nlohmann::json::array();
  for (const peer::LinkInfo& link : transport_.Links()) {
    links.push_back({ { "address", link.address_.Get() },
                      { "since_heard_us", link.sinceHeard_.count() },
                      { "since_used_us", link.sinceUsed_.count() },
                      { "waiting", link.waiting_ } });
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

void Daemon::OnTargetAnnounced(const common::ServiceName& aService, const common::Address& aAddress)
{
  if (isDraining_) {
    return;
  }
  const bool isReady = !aAddress.Get().empty();
  forwarder_.SetTarget(aService, aAddress);
  membership_.Announce(isReady ? aService : common::ServiceName());
}

void Daemon::OnTargetLeaving()
{
  forwarder_.SetTarget(common::ServiceName(), common::Address());
  membership_.Leave();
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
  membership_.Leave();
  forwarder_.StartDrain();
  callerServer_.StartDrain();
  drainCheck_ = loop_.Every(kDrainCheckInterval, [this] { CheckDrained(); });
  drainLimit_ = loop_.After(settings_.drainLimit_, [this] {
    Finish(InFlight() == 0 ? ExitStatus::kOk : ExitStatus::kCut);
  });
}

void Daemon::CheckDrained()
{
  if (InFlight() == 0 && common::Now() - drainingSince_ >= kDrainAtLeast) {
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
  membership_.Stop();
  // What was sent last must leave the process.
  flush_ = loop_.After(kFlushTime, [this] { loop_.Stop(); });
}

} // namespace dandelionstand::daemon
