// The parts of the daemon that exist on the users' platform only.
#include "dandelionstand/daemon/Daemon.h"

#include "dandelionstand/daemon/DocumentConfigSource.h"
#include "dandelionstand/daemon/PlatformPolicy.h"
#include "dandelionstand/freshness/PermissionCheck.h"
#include "dandelionstand/peer/generated/call.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

//! A daemon that has not reached a peer after this time reports ready without peers; it can then
//! serve only the requests that its own target handles.
constexpr common::Duration kPeerWaitTimeout = 2s;

} // namespace

void Daemon::SetUpPlatform()
{
  const PlatformSettings& platform = *settings_.platform_;
  targetMonitor_ = std::make_unique<target::TargetMonitor>(
    loop_, counters_, forwarder_, common::ServiceName(platform.service_));
  targetMonitor_->Changed().connect(sigc::mem_fun(*this, &Daemon::OnTargetChanged));
  withdrawalTask_ =
    std::make_unique<WithdrawalTask>(loop_, counters_, membership_, *targetMonitor_);
  targetReportServer_ = std::make_unique<platform::TargetReportServer>(
    loop_,
    counters_,
    platform.controlListen_,
    [this](const target::TargetAnnouncement& aAnnouncement,
           platform::TargetReportServer::Reply aReply) {
      withdrawalTask_->OnAnnouncement(aAnnouncement, std::move(aReply));
    });
  readinessServer_ = std::make_unique<platform::ReadinessServer>(
    loop_, platform.readinessListen_, [this] { return IsReadyForClients(); });
  ApplyRetryBudget();
}

void Daemon::SetUpFreshness(DocumentConfigSource& aConfigSource,
                            const peer::Member& aSelf,
                            common::Duration aRevocationLimit)
{
  freshnessTask_ = std::make_unique<freshness::FreshnessTask>(
    loop_,
    counters_,
    controlSender_,
    transport_,
    freshness::FreshnessTracker(
      aSelf, freshness::MakeFreshnessSettings(aRevocationLimit), incarnation_.Get()),
    freshness::FreshnessTask::Handlers{
      [&aConfigSource] { aConfigSource.ReadStoreNow(); },
      [&aConfigSource](const common::Address& aPeer, common::Version aVersion) {
        aConfigSource.OnPeerVersion(aPeer, aVersion);
      } });
  aConfigSource.VersionChanged().connect(
    [this](common::Version aVersion) { freshnessTask_->OnVersionActive(aVersion); });
  aConfigSource.StoreRead().connect(
    [this](common::TimePoint aStartedAt) { freshnessTask_->OnStoreRead(aStartedAt); });
  callerServer_.SetFreshness(*freshnessTask_);
  forwarder_.SetPermissionCheck([this](const peer::wire::CallStart& aCall) {
    const std::string_view refusal = freshness::CheckPermission(
      { common::Version(aCall.config_version()), aCall.organisation(), aCall.key_digest() },
      *freshnessTask_,
      configSource_->ActiveState().get());
    if (!refusal.empty()) {
      counters_.Add("permission_unconfirmed_total{place=\"target\"}");
    }
    return refusal;
  });
}

void Daemon::SetUpQuotas(DocumentConfigSource& aConfigSource, const peer::Member& aSelf)
{
  const platform::PlatformBounds& bounds = settings_.platform_->bounds_;
  quotaTask_ = std::make_unique<quota::QuotaTask>(
    loop_,
    counters_,
    controlSender_,
    transport_,
    log_,
    [&aConfigSource] { return aConfigSource.ActiveState(); },
    aSelf,
    quota::QuotaRule{ *bounds.quotaWindow_, bounds.quotaOverage_, bounds.quotaSlack_ });
  callerServer_.SetQuotaGate(*quotaTask_);
  admin_.AddDumpSection("quota", [this] { return quotaTask_->Dump(); });
}

bool Daemon::IsReadyForClients() const
{
  const bool isJoinFinished =
    membership_.State().HasJoined() || common::Now() - startedAt_ > kPeerWaitTimeout;
  return !isDraining_ && configSource_->ActiveState() != nullptr && isJoinFinished;
}

void Daemon::ApplyRetryBudget()
{
  if (!settings_.platform_) {
    return;
  }
  const auto liveDaemons = LiveCount(membership_.State().All());
  callerServer_.SetRetryBudget(PlatformRetryBudget(settings_.platform_->bounds_, liveDaemons));
}

std::ptrdiff_t Daemon::LiveCount(const peer::Members& aMembers)
{
  return std::count_if(
    aMembers.begin(), aMembers.end(), [](const peer::Member& aMember) { return aMember.IsLive(); });
}

} // namespace dandelionstand::daemon
