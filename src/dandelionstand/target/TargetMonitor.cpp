#include "dandelionstand/target/TargetMonitor.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"

#include <sigc++/functors/mem_fun.h>

namespace dandelionstand::target {

namespace {

using namespace std::chrono_literals;

//! Three announcements missing: they come about every 1.5 s, and single ones arrive seconds late.
constexpr common::Duration kSilence = 6s;
constexpr common::Duration kTick = 250ms;

} // namespace

TargetMonitor::TargetMonitor(common::EventLoop& aLoop,
                             common::Counters& aCounters,
                             TargetForwarder& aForwarder)
  : counters_(aCounters)
  , forwarder_(aForwarder)
  , record_(kSilence)
{
  forwarder_.TargetLost().connect(sigc::mem_fun(*this, &TargetMonitor::OnLost));
  tick_ = aLoop.Every(kTick, [this] { Update("silent"); });
}

TargetMonitor::~TargetMonitor() = default;

void TargetMonitor::OnAnnouncement(const TargetAnnouncement& aNews)
{
  if (record_.Apply(aNews, common::Now()) == TargetRecord::Verdict::kStale) {
    counters_.Add("target_reports_stale_total");
    common::LogEvent(common::Severity::kInfo,
                     "target_report_stale",
                     { { "start", aNews.incarnationId_ },
                       { "phase", ToText(aNews.phase_) },
                       { "sequence", aNews.sequence_ },
                       { "known_sequence", record_.Known()->sequence_ } });
    return;
  }
  Update(ToText(aNews.phase_));
}

void TargetMonitor::OnLost(const std::string& aReason)
{
  record_.MarkUnreachable();
  Update(aReason.c_str());
}

void TargetMonitor::Update(const char* aCause)
{
  const TargetAnnouncement* known = record_.Known();
  if (known == nullptr) {
    return;
  }
  const common::TimePoint now = common::Now();
  const bool isReady = record_.IsReady(now);
  const bool isSame = isReady == isReady_ &&
                      (!isReady || (openFor_ == known->incarnationId_ && slots_ == known->slots_));
  if (isSame) {
    return;
  }
  isReady_ = isReady;
  openFor_ = isReady ? known->incarnationId_ : "";
  slots_ = known->slots_;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(record_.Age(now)).count();
  common::LogEvent(common::Severity::kInfo,
                   isReady ? "target_ready" : "target_withdrawn",
                   { { "cause", aCause },
                     { "start", known->incarnationId_ },
                     { "service", known->service_.Get() },
                     { "sequence", known->sequence_ },
                     { "slots", known->slots_ },
                     { "age_ms", static_cast<std::uint64_t>(age) } });
  TargetForwarder::Target target;
  target.service_ = known->service_;
  target.address_ = isReady ? known->address_ : common::Address();
  target.incarnationId_ = known->incarnationId_;
  target.slots_ = known->slots_;
  // A cold target is slower, which its measured service time shows; its slots are all there.
  target.rampUp_ = common::Duration(0);
  forwarder_.SetTarget(target);
  changed_.emit(isReady ? known->service_ : common::ServiceName());
}

} // namespace dandelionstand::target
