#include "dandelionstand/target/TargetMonitor.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"

#include <sigc++/functors/mem_fun.h>

namespace dandelionstand::target {

namespace {

using namespace std::chrono_literals;

//! Announcements are sent about every 1.5 s, and single ones arrive seconds late. After this time
//! at least three are missing.
constexpr common::Duration kSilenceTimeout = 6s;
constexpr common::Duration kUpdateInterval = 250ms;

} // namespace

TargetMonitor::TargetMonitor(common::EventLoop& aLoop,
                             common::Counters& aCounters,
                             TargetForwarder& aForwarder,
                             const common::ServiceName& aService)
  : counters_(aCounters)
  , forwarder_(aForwarder)
  , record_(aService, kSilenceTimeout)
{
  forwarder_.TargetLost().connect(sigc::mem_fun(*this, &TargetMonitor::OnTargetLost));
  forwarder_.TargetLeaving().connect(sigc::mem_fun(*this, &TargetMonitor::OnTargetLeaving));
  updateTimer_ = aLoop.Every(kUpdateInterval, [this] { Update("silent"); });
}

TargetMonitor::~TargetMonitor() = default;

TargetMonitor::Result TargetMonitor::OnAnnouncement(const TargetAnnouncement& aAnnouncement)
{
  const TargetRecord::ApplyResult applied = record_.Apply(aAnnouncement, common::Now());
  if (applied == TargetRecord::ApplyResult::kForeign) {
    counters_.Add("target_reports_foreign_total");
    common::LogEvent(
      common::Severity::kWarn,
      "target_report_foreign",
      { { "start", aAnnouncement.incarnationId_ }, { "service", aAnnouncement.service_.Get() } });
    return { .isForeign_ = true, .withdrawn_ = std::nullopt };
  }
  if (applied == TargetRecord::ApplyResult::kStale) {
    counters_.Add("target_reports_stale_total");
    common::LogEvent(
      common::Severity::kInfo,
      "target_report_stale",
      { { "start", aAnnouncement.incarnationId_ },
        { "phase", ToText(aAnnouncement.phase_) },
        { "sequence", aAnnouncement.sequence_ },
        { "known_sequence", record_.Latest() == nullptr ? 0 : record_.Latest()->sequence_ } });
  } else {
    Update(ToText(aAnnouncement.phase_));
  }
  const auto& withdrawn = record_.Withdrawn();
  const bool isWithdrawal = aAnnouncement.phase_ != TargetPhase::kReady && withdrawn &&
                            withdrawn->incarnationId_ == aAnnouncement.incarnationId_;
  return { .isForeign_ = false, .withdrawn_ = isWithdrawal ? withdrawn : std::nullopt };
}

void TargetMonitor::OnEarlierWithdrawal(const common::TargetIdentity& aTarget)
{
  // What this process has withdrawn itself is later.
  if (!record_.Withdrawn()) {
    record_.MarkWithdrawn(aTarget, common::Now());
    Update("withdrawn-earlier");
  }
}

void TargetMonitor::OnEarlierWithdrawalsKnown()
{
  areEarlierWithdrawalsKnown_ = true;
  Update("withdrawals-known");
}

void TargetMonitor::OnTargetLost(const std::string& aReason)
{
  record_.MarkUnreachable();
  Update(aReason.c_str());
}

void TargetMonitor::OnTargetLeaving(const common::TargetIdentity& aTarget)
{
  record_.MarkWithdrawn(aTarget, common::Now());
  Update("answer-leaving");
}

void TargetMonitor::Update(const char* aCause)
{
  if (const TargetAnnouncement* latest = record_.Latest()) {
    UpdateForwarder(*latest, aCause);
  }
  if (record_.Withdrawn() != withdrawnTarget_) {
    withdrawnTarget_ = record_.Withdrawn();
    withdrawn_.emit(*withdrawnTarget_);
  }
}

void TargetMonitor::UpdateForwarder(const TargetAnnouncement& aLatest, const char* aCause)
{
  const common::TimePoint now = common::Now();
  const bool isReady = areEarlierWithdrawalsKnown_ && record_.IsReady(now);
  const bool isUnchanged =
    isReady == isReady_ &&
    (!isReady || (readyTarget_ == aLatest.Identity() && slots_ == aLatest.slots_));
  if (isUnchanged) {
    return;
  }
  isReady_ = isReady;
  readyTarget_ = isReady ? aLatest.Identity() : common::TargetIdentity();
  slots_ = aLatest.slots_;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(record_.Age(now)).count();
  common::LogEvent(common::Severity::kInfo,
                   isReady ? "target_ready" : "target_withdrawn",
                   { { "cause", aCause },
                     { "start", aLatest.incarnationId_ },
                     { "service", aLatest.service_.Get() },
                     { "sequence", aLatest.sequence_ },
                     { "slots", aLatest.slots_ },
                     { "age_ms", static_cast<std::uint64_t>(age) } });
  TargetForwarder::Target target;
  target.service_ = aLatest.service_;
  target.address_ = isReady ? aLatest.address_ : common::Address();
  target.identity_ = aLatest.Identity();
  target.slots_ = aLatest.slots_;
  // All slots are usable at once: a cold target is slower, but that shows in its measured service
  // time.
  target.rampUpDuration_ = common::Duration(0);
  forwarder_.SetTarget(target);
  changed_.emit(isReady ? aLatest.service_ : common::ServiceName());
}

} // namespace dandelionstand::target
