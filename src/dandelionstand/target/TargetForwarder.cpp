#include "dandelionstand/target/TargetForwarder.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/target/ForwardedCall.h"
#include "dandelionstand/target/WireNotice.h"

#include <sigc++/functors/mem_fun.h>

#include <utility>

namespace dandelionstand::target {

namespace {

constexpr common::Duration kTickInterval = std::chrono::milliseconds(20);
constexpr common::Duration kUsageLogInterval = std::chrono::seconds(5);

template<typename Message>
AttemptKey KeyOf(const peer::wire::Envelope& aEnvelope, const Message& aMessage)
{
  return { common::InstanceId(aEnvelope.sender()),
           common::Incarnation(aEnvelope.sender_incarnation()),
           common::RequestId(aMessage.request_id()),
           aMessage.attempt() };
}

} // namespace

TargetForwarder::TargetForwarder(common::EventLoop& aLoop,
                                 common::Counters& aCounters,
                                 peer::Transport& aTransport,
                                 const dialect::TargetDialect& aDialect,
                                 const EgressSettings& aEgress,
                                 common::Incarnation aDaemonIncarnation,
                                 std::unique_ptr<AdmissionQueue> aQueue,
                                 ConfigSource aConfigSource)
  : loop_(aLoop)
  , counters_(aCounters)
  , transport_(aTransport)
  , daemonIncarnation_(aDaemonIncarnation)
  , configSource_(std::move(aConfigSource))
  , sender_(aLoop,
            aTransport,
            aEgress,
            [this](const std::string& aRoute) { return CurrentLoad(aRoute); })
  , uploads_(
      aCounters,
      aTransport,
      aEgress,
      [this](UploadReceiver::Upload aUpload) {
        OfferCall(aUpload.callerDaemon_, aUpload.work_, std::move(aUpload.start_));
      },
      [this](const UploadReceiver::Upload& aUpload, std::string_view aReason) {
        Refuse(aUpload.callerDaemon_, aUpload.work_.key_, aUpload.start_, aReason);
      })
  , connections_(aLoop)
  , queue_(std::move(aQueue))
  , callContext_{ aLoop,
                  aCounters,
                  sender_,
                  connections_,
                  aDialect,
                  [this](const std::string& aReason) { targetLost_.emit(aReason); },
                  [this](const common::TargetIdentity& aTarget,
                         const dialect::TargetNotice& aNotice,
                         common::TimePoint aSentAt) {
                    counters_.Add("target_notices_invalid_total", aNotice.hasInvalidLimit_ ? 1 : 0);
                    notices_.OnAnswer(aTarget, aNotice, aSentAt, common::Now());
                    ApplyNotice("answer");
                  } }
{
  transport_.Received().connect(sigc::mem_fun(*this, &TargetForwarder::OnEnvelope));
  sender_.AnswerLost().connect(sigc::mem_fun(*this, &TargetForwarder::OnAnswerLost));
  tickTimer_ = loop_.Every(kTickInterval, [this] { Tick(); });
  usageTimer_ = loop_.Every(kUsageLogInterval, [this] {
    LogUsage();
    LogEgress();
  });
}

TargetForwarder::~TargetForwarder() = default;

void TargetForwarder::SetTarget(const Target& aTarget)
{
  if (aTarget.identity_ != target_.identity_) {
    connections_.CloseIdle();
  }
  target_ = aTarget;
  notices_.SetTarget(aTarget.identity_);
  ApplyNotice("target-changed");
  common::HostAndPort address;
  RefreshLimits();
  if (!common::ParseAddress(aTarget.address_.Get(), address)) {
    Apply(queue_->MarkNotReady(common::Now()));
    return;
  }
  connections_.SetTarget(address);
  Apply(queue_->MarkReady(common::Now(), aTarget.rampUpDuration_));
}

void TargetForwarder::StartDrain()
{
  Apply(queue_->MarkDraining(common::Now()));
}

void TargetForwarder::OnEnvelope(const peer::PeerRef& aCallerDaemon,
                                 const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_call_start()) {
    const peer::wire::CallStart& start = aEnvelope.call_start();
    const common::TimePoint now = common::Now();
    const common::Duration maxAge = loop_.MaxInputAge();
    if (maxAge > common::Duration(0)) {
      delayedStarts_.push_back({ aCallerDaemon, KeyOf(aEnvelope, start), start, now, maxAge });
      delayedStartsTimer_ = loop_.After(common::Duration(0), [this] { HandleDelayedStarts(); });
    } else {
      OnCallStart(aCallerDaemon, KeyOf(aEnvelope, start), start, now, maxAge);
    }
  } else if (aEnvelope.has_call_body()) {
    uploads_.OnBody(KeyOf(aEnvelope, aEnvelope.call_body()), aEnvelope.call_body(), common::Now());
  } else if (aEnvelope.has_call_cancel()) {
    OnCallCancel(KeyOf(aEnvelope, aEnvelope.call_cancel()));
  } else if (aEnvelope.has_call_credit()) {
    const auto found = calls_.find(KeyOf(aEnvelope, aEnvelope.call_credit()));
    if (found != calls_.end()) {
      found->second.call_->AddCredit(aEnvelope.call_credit().bytes());
    }
  }
}

void TargetForwarder::HandleDelayedStarts()
{
  for (const DelayedStart& delayed : std::exchange(delayedStarts_, {})) {
    OnCallStart(
      delayed.callerDaemon_, delayed.key_, delayed.start_, delayed.readAt_, delayed.maxAge_);
  }
}

common::TimePoint TargetForwarder::SentAt(const AttemptKey& aKey,
                                          const peer::wire::CallStart& aStart,
                                          common::TimePoint aReadAt,
                                          common::Duration aMaxAge)
{
  if (aStart.sent_at_us() == 0) {
    return aReadAt;
  }
  const common::Duration sentAt(static_cast<common::Duration::rep>(aStart.sent_at_us()));
  return aReadAt - transitDelays_.Record(
                     aKey.callerInstance_, aKey.callerIncarnation_, sentAt, aReadAt, aMaxAge);
}

void TargetForwarder::OnCallStart(const peer::PeerRef& aCallerDaemon,
                                  const AttemptKey& aKey,
                                  const peer::wire::CallStart& aStart,
                                  common::TimePoint aReadAt,
                                  common::Duration aMaxAge)
{
  if (aStart.has_remembered_notice()) {
    const peer::wire::TargetNotice& notice = aStart.remembered_notice();
    notices_.OnRemembered(ParseIdentity(notice), ParseNotice(notice));
    ApplyNotice("remembered");
  }
  if (aStart.target_incarnation() != daemonIncarnation_.Get()) {
    Refuse(aCallerDaemon, aKey, aStart, "wrong-incarnation");
    return;
  }
  if (aStart.service() != target_.service_.Get()) {
    Refuse(aCallerDaemon, aKey, aStart, ToText(RefusalReason::kNotReady));
    return;
  }
  if (calls_.contains(aKey) || uploads_.Contains(aKey)) {
    counters_.Add("target_calls_repeated_total");
    return;
  }
  const common::TimePoint sentAt = SentAt(aKey, aStart, aReadAt, aMaxAge);
  counters_.Observe("target_transit_delay_seconds", common::Now() - sentAt);
  const common::TimePoint deadline = sentAt + std::chrono::milliseconds(aStart.time_left_ms());
  const auto trafficClass = static_cast<config::TrafficClass>(aStart.traffic_class());
  Work work{ aKey, trafficClass, deadline };
  if (aStart.has_objective()) {
    work.objective_ = sentAt + std::chrono::milliseconds(aStart.objective_left_ms());
  }
  usage_.RecordOffer(aStart.route());
  work.rank_ = aStart.rank();
  work.route_ = aStart.route();
  work.transferTime_ = sender_.TransferTime(aStart.route(), aKey.callerInstance_);
  work.mayMissObjective_ = !aStart.has_other_endpoints();
  if (aStart.deferred_body_bytes() > 0) {
    StartUpload(aCallerDaemon, work, aStart);
  } else {
    OfferCall(aCallerDaemon, work, aStart);
  }
}

void TargetForwarder::StartUpload(const peer::PeerRef& aCallerDaemon,
                                  const Work& aWork,
                                  const peer::wire::CallStart& aStart)
{
  const common::TimePoint now = common::Now();
  const common::TimePoint bodyArrivesAt =
    now + uploads_.TimeToReceive(aStart.deferred_body_bytes());
  if (const auto reason = queue_->PredictRefusal(aWork, bodyArrivesAt, now)) {
    Refuse(aCallerDaemon, aWork.key_, aStart, ToText(*reason));
    return;
  }
  uploads_.Start({ aCallerDaemon, aWork, aStart }, now);
}

void TargetForwarder::OfferCall(const peer::PeerRef& aCallerDaemon,
                                const Work& aWork,
                                peer::wire::CallStart aStart)
{
  const common::TimePoint now = common::Now();
  CallEntry& entry = calls_[aWork.key_];
  entry.offeredAt_ = now;
  entry.deadline_ = aWork.deadline_;
  entry.objective_ = aWork.objective_;
  entry.call_ =
    std::make_unique<ForwardedCall>(callContext_,
                                    aCallerDaemon,
                                    aWork.key_,
                                    std::move(aStart),
                                    [this](const AttemptKey& aFinishedKey, WorkOutcome aOutcome) {
                                      OnCallFinished(AttemptKey(aFinishedKey), aOutcome);
                                    });
  Apply(queue_->Offer(aWork, now));
}

void TargetForwarder::OnCallCancel(const AttemptKey& aKey)
{
  sender_.Drop(aKey);
  const bool wasDelayed = std::erase_if(delayedStarts_, [&](const DelayedStart& aDelayed) {
                            return aDelayed.key_ == aKey;
                          }) > 0;
  if (wasDelayed) {
    counters_.Add("target_calls_cancelled_total");
    return;
  }
  if (uploads_.Cancel(aKey)) {
    counters_.Add("target_calls_cancelled_total");
    return;
  }
  const auto found = calls_.find(aKey);
  if (found == calls_.end()) {
    return;
  }
  counters_.Add("target_calls_cancelled_total");
  OnCallFinished(aKey, WorkOutcome::kAborted);
}

void TargetForwarder::OnAnswerLost(const AttemptKey& aKey)
{
  if (calls_.contains(aKey)) {
    OnCallFinished(aKey, WorkOutcome::kAborted);
  }
}

void TargetForwarder::OnCallFinished(const AttemptKey& aKey, WorkOutcome aOutcome)
{
  const auto found = calls_.find(aKey);
  if (found != calls_.end()) {
    const CallEntry& entry = found->second;
    if (entry.startedAt_ != common::TimePoint()) {
      usage_.RecordEnd(entry.call_->Request().route(),
                       common::Now() - entry.startedAt_,
                       aOutcome == WorkOutcome::kAborted);
    }
    calls_.erase(found);
  }
  sender_.ReleaseReservation(aKey);
  Apply(queue_->OnWorkFinished(aKey, aOutcome, common::Now()));
}

std::string_view TargetForwarder::CheckStart(const CallEntry& aEntry) const
{
  if (aEntry.call_->Request().service() != target_.service_.Get()) {
    // The call waited while a target of another service replaced the one that it is for.
    return ToText(RefusalReason::kNotReady);
  }
  if (common::Now() >= aEntry.deadline_) {
    // Time has passed since the queue's decision, and the caller has left.
    return ToText(RefusalReason::kUnservable);
  }
  return checkPermission_ ? checkPermission_(aEntry.call_->Request()) : std::string_view();
}

void TargetForwarder::Apply(const SlotActions& aActions)
{
  for (const SlotAction& action : aActions) {
    if (const auto* start = std::get_if<StartWork>(&action)) {
      CallEntry& entry = calls_.at(start->key_);
      const std::string_view refusal = CheckStart(entry);
      if (!refusal.empty()) {
        const std::unique_ptr<ForwardedCall> call = std::move(entry.call_);
        calls_.erase(start->key_);
        Refuse(call->CallerDaemon(), start->key_, call->Request(), refusal);
        OnCallFinished(AttemptKey(start->key_), WorkOutcome::kAborted);
        continue;
      }
      counters_.Add("target_calls_forwarded_total");
      entry.startedAt_ = common::Now();
      counters_.Observe("target_wait_seconds", entry.startedAt_ - entry.offeredAt_);
      usage_.RecordStart(entry.call_->Request().route(),
                         start->key_.attempt_ > 1,
                         entry.startedAt_ > entry.objective_);
      sender_.Reserve(entry.call_->Request().route(), start->key_);
      entry.call_->Start(entry.deadline_, target_.identity_);
    } else if (const auto* refusal = std::get_if<RefuseWork>(&action)) {
      const auto found = calls_.find(refusal->key_);
      const std::unique_ptr<ForwardedCall> call = std::move(found->second.call_);
      // Removed first: what is refused as not run can no longer be started.
      calls_.erase(found);
      Refuse(call->CallerDaemon(), refusal->key_, call->Request(), ToText(refusal->reason_));
    }
  }
}

void TargetForwarder::Refuse(const peer::PeerRef& aRecipient,
                             const AttemptKey& aKey,
                             const peer::wire::CallStart& aStart,
                             std::string_view aReason)
{
  common::LogEvent(common::Severity::kWarn,
                   "call_refused",
                   { { "request", aStart.caller_request_id() },
                     { "from", aKey.callerInstance_.Get() },
                     { "attempt", aKey.attempt_ },
                     { "reason", aReason },
                     { "route", aStart.route() },
                     { "rank", aStart.rank() },
                     { "version", aStart.config_version() },
                     { "time_left_ms", aStart.time_left_ms() },
                     { "objective_left_ms", aStart.objective_left_ms() },
                     { "running", queue_->RunningCount() },
                     { "queued", queue_->QueuedCount() },
                     { "slots", queue_->UsableSlots(common::Now()) } });
  usage_.RecordRefusal(aStart.route());
  counters_.Add("target_calls_refused_total{reason=\"" + std::string(aReason) + "\"}");
  sender_.SendFailed(aRecipient, aKey, aStart.route(), aReason, peer::wire::NOT_RUN);
}

void TargetForwarder::ApplyNotice(const char* aSource)
{
  const dialect::TargetNotice notice = notices_.Current();
  if (notice == appliedNotice_) {
    return;
  }
  const dialect::TargetNotice previous = std::exchange(appliedNotice_, notice);
  const auto toText = [](const std::optional<double>& aRate) {
    return aRate ? std::to_string(*aRate) : std::string("none");
  };
  common::LogEvent(common::Severity::kInfo,
                   "target_notice",
                   { { "start", notices_.Target().incarnationId_ },
                     { "source", aSource },
                     { "max_requests_per_s", toText(notice.maxRequestsPerSecond_) },
                     { "previous", toText(previous.maxRequestsPerSecond_) },
                     { "leaving", notice.isLeaving_ ? "yes" : "no" } });
  if (notice.maxRequestsPerSecond_ != previous.maxRequestsPerSecond_) {
    Apply(queue_->SetMaxStartRate(notice.maxRequestsPerSecond_, common::Now()));
  }
  if (notice.isLeaving_ && !previous.isLeaving_) {
    targetLeaving_.emit(notices_.Target());
  }
}

void TargetForwarder::RefreshLimits()
{
  const config::ConfigStatePtr config = configSource_();
  if (!config) {
    return;
  }
  if (config->clientLimits_) {
    uploads_.SetMaxBodyBytes(config->clientLimits_->bodyBytes_);
  }
  const auto endpoints = config->endpoints_.find(target_.service_);
  if (endpoints == config->endpoints_.end()) {
    return;
  }
  const auto limits = config->limits_.find(endpoints->second.value_.limits_);
  if (limits == config->limits_.end()) {
    return;
  }
  connections_.SetMaxConnections(limits->second.value_.connections_);
  const std::uint32_t slots = target_.slots_ > 0 ? target_.slots_ : limits->second.value_.slots_;
  Apply(queue_->SetLimits(slots, limits->second.value_.queueLength_, common::Now()));
}

void TargetForwarder::Tick()
{
  RefreshLimits();
  Apply(queue_->Tick(common::Now()));
  uploads_.Tick(*queue_, common::Now());
}

void TargetForwarder::LogUsage()
{
  for (const auto& [route, use] : usage_.Extract()) {
    common::LogEvent(common::Severity::kInfo,
                     "target_use",
                     { { "route", route },
                       { "offered", use.offered_ },
                       { "started", use.started_ },
                       { "started_late", use.startedLate_ },
                       { "retries", use.startedRetries_ },
                       { "refused", use.refused_ },
                       { "aborted", use.aborted_ },
                       { "slot_ms", common::ToMilliseconds(use.slotTime_) },
                       { "work_time_ms", common::ToMilliseconds(queue_->MeanServiceTime(route)) },
                       { "slots", queue_->UsableSlots(common::Now()) } });
  }
}

void TargetForwarder::LogEgress()
{
  const EgressQueue& egress = sender_.Egress();
  const std::uint64_t sentBytes =
    egress.SentBytes() - std::exchange(loggedSentBytes_, egress.SentBytes());
  if (!egress.IsLimited()) {
    return;
  }
  common::LogEvent(
    common::Severity::kInfo,
    "egress_use",
    { { "sent_bytes", sentBytes },
      { "answers", egress.AnswerCount() },
      { "queued_bytes", egress.QueuedBytes() },
      { "reserved_bytes", egress.ReservedBytes() },
      { "time_to_send_ms", common::ToMilliseconds(egress.TimeToSend(0, common::Now())) } });
}

peer::wire::Load TargetForwarder::CurrentLoad() const
{
  peer::wire::Load load;
  load.set_running(static_cast<std::uint32_t>(queue_->RunningCount()));
  load.set_queued(static_cast<std::uint32_t>(queue_->QueuedCount()));
  load.set_slots(queue_->UsableSlots(common::Now()));
  return load;
}

peer::wire::Load TargetForwarder::CurrentLoad(const std::string& aRoute) const
{
  peer::wire::Load load = CurrentLoad();
  const common::Duration workTime = queue_->MeanServiceTime(aRoute) +
                                    sender_.TransferTime(aRoute, common::InstanceId()) +
                                    uploads_.UsualTimeToReceive(aRoute);
  load.set_work_time_us(static_cast<std::uint32_t>(workTime.count()));
  WriteNotice(notices_, load);
  return load;
}

} // namespace dandelionstand::target
