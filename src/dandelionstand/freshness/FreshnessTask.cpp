#include "dandelionstand/freshness/FreshnessTask.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionstand::freshness {

namespace {

//! Short against the time-out of a query.
constexpr common::Duration kTick = std::chrono::milliseconds(50);

//! Rounds up, since a proof must not look younger than it is.
std::uint32_t ToWireAge(common::Duration aAge)
{
  const std::uint64_t milliseconds = common::ToMilliseconds(aAge) + 1;
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(milliseconds, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

FreshnessTask::FreshnessTask(common::EventLoop& aLoop,
                             common::Counters& aCounters,
                             peer::ControlSender& aSender,
                             peer::Transport& aTransport,
                             FreshnessTracker aTracker,
                             Handlers aHandlers)
  : counters_(aCounters)
  , sender_(aSender)
  , transport_(aTransport)
  , tracker_(std::move(aTracker))
  , handlers_(std::move(aHandlers))
{
  aTransport.Received().connect(sigc::mem_fun(*this, &FreshnessTask::OnEnvelope));
  tick_ = aLoop.Every(kTick, [this] { Tick(); });
}

FreshnessTask::~FreshnessTask() = default;

bool FreshnessTask::IsFresh() const
{
  return tracker_.IsFresh(common::BootNow());
}

std::optional<common::Duration> FreshnessTask::Age() const
{
  return tracker_.Age(common::BootNow());
}

void FreshnessTask::OnStoreRead(common::TimePoint aStartedAt)
{
  tracker_.OnStoreRead(aStartedAt);
  proofOrigin_ = "store";
}

void FreshnessTask::OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_freshness_query()) {
    Answer(aFrom, aEnvelope.freshness_query());
  } else if (aEnvelope.has_freshness_reply()) {
    OnReply(common::Address(aEnvelope.sender_address()), aEnvelope.freshness_reply());
  }
}

void FreshnessTask::Answer(const peer::PeerRef& aTo, const peer::wire::FreshnessQuery& aQuery)
{
  const auto age = Age();
  if (!age) {
    return; // The requester tries another peer after its time-out.
  }
  peer::wire::Envelope envelope;
  peer::wire::FreshnessReply& reply = *envelope.mutable_freshness_reply();
  reply.set_sequence(aQuery.sequence());
  reply.set_version(tracker_.ActiveVersion().Get());
  reply.set_age_ms(ToWireAge(*age));
  transport_.Send(aTo, envelope);
}

void FreshnessTask::OnReply(const common::Address& aSender,
                            const peer::wire::FreshnessReply& aReply)
{
  const common::Version version(aReply.version());
  const bool isActive = tracker_.OnReply(
    aReply.sequence(), version, std::chrono::milliseconds(aReply.age_ms()), common::BootNow());
  if (isActive) {
    proofOrigin_ = aSender.Get();
  } else {
    handlers_.onPeerVersion_(aSender, version);
  }
}

void FreshnessTask::Tick()
{
  const FreshnessActions actions = tracker_.Tick(common::BootNow());
  if (actions.query_) {
    counters_.Add("freshness_queries_total");
    peer::wire::Envelope envelope;
    envelope.mutable_freshness_query()->set_sequence(actions.query_->sequence_);
    envelope.mutable_freshness_query()->set_version(tracker_.ActiveVersion().Get());
    sender_.Send(actions.query_->address_, peer::ControlKind::kSpreading, envelope);
  }
  if (actions.readsStore_) {
    counters_.Add("freshness_store_reads_total");
    handlers_.readStore_();
  }
  const auto age = Age();
  counters_.Set("permission_age_ms", age ? common::ToMilliseconds(*age) : 0);
  const bool isFresh = IsFresh();
  if (isFresh != std::exchange(wasFresh_, isFresh)) {
    common::LogEvent(isFresh ? common::Severity::kInfo : common::Severity::kWarn,
                     isFresh ? "permissions_confirmed" : "permissions_unconfirmed",
                     { { "age_ms", age ? common::ToMilliseconds(*age) : 0 },
                       { "origin", proofOrigin_ },
                       { "version", tracker_.ActiveVersion().Get() } });
  }
}

} // namespace dandelionstand::freshness
