#include "dandelionstand/daemon/Daemon.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/peer/generated/membership.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <csignal>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kDrainCheckInterval = 20ms;
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

peer::wire::Member MemberOf(const Settings& aSettings, common::Incarnation aIncarnation)
{
  peer::wire::Member member;
  member.set_instance(aSettings.instance_.Get());
  member.set_incarnation(aIncarnation.Get());
  member.set_address(aSettings.peers_.advertise_.Get());
  member.set_failure_domain(aSettings.failureDomain_.Get());
  member.set_region(aSettings.region_.Get());
  return member;
}

caller::CallerServerSettings CallerSettingsOf(const Settings& aSettings,
                                              common::Incarnation aIncarnation)
{
  return { .listen_ = aSettings.callers_.listen_,
           .maxBodyBytes_ = aSettings.callers_.maxBodyBytes_,
           .maxHeaderBytes_ = aSettings.callers_.maxHeaderBytes_,
           .bodyMemoryBytes_ = aSettings.callers_.bodyMemoryBytes_,
           .incarnation_ = aIncarnation,
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
  , directory_(loop_, log_, MemberOf(aSettings, incarnation_))
  , configReader_(loop_, counters_, log_)
  , forwarder_(loop_,
               counters_,
               transport_,
               incarnation_,
               [this] { return configReader_.InForce(); })
  , callerServer_(
      loop_,
      counters_,
      transport_,
      directory_,
      [this] { return configReader_.InForce(); },
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
    const config::ConfigStatePtr state = configReader_.InForce();
    return nlohmann::json{ { "version", state ? state->version_.Get() : 0 },
                           { "routes", state ? state->routes_.size() : 0 } };
  });
  admin_.AddDumpSection("links", [this] { return DumpLinks(); });
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
  directory_.Announce(isReady ? aService : common::ServiceName());
}

void Daemon::OnTargetLeaving()
{
  forwarder_.SetTarget(common::ServiceName(), common::Address());
  directory_.Announce(common::ServiceName());
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
  directory_.Leave();
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
  loop_.Stop();
}

} // namespace dandelionstand::daemon
