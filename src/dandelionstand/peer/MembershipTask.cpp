#include "dandelionstand/peer/MembershipTask.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/MessageCheck.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/platform/Log.h"

#include <sigc++/functors/mem_fun.h>

#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

const platform::StreamName kMembersStream("members");
constexpr common::Duration kTick = 50ms;
constexpr common::Duration kRecordRetryDelay = 1s;

} // namespace

MembershipTask::MembershipTask(common::EventLoop& aLoop,
                               common::Counters& aCounters,
                               ControlSender& aSender,
                               Transport& aTransport,
                               platform::Log& aLog,
                               const Member& aSelf,
                               MembershipSettings aSettings)
  : loop_(aLoop)
  , counters_(aCounters)
  , sender_(aSender)
  , log_(aLog)
  , membership_(aSelf,
                std::move(aSettings),
                common::Now(),
                std::mt19937_64(aSelf.incarnation_.Get()))
  , startedAt_(common::Now())
{
  aTransport.Received().connect(sigc::mem_fun(*this, &MembershipTask::OnReceived));
  tick_ = loop_.Every(kTick, [this] { Handle(MembershipTick{}); });
}

MembershipTask::~MembershipTask() = default;

std::vector<Endpoint> MembershipTask::EndpointsOf(const common::ServiceName& aService) const
{
  std::vector<Endpoint> endpoints;
  for (const Member& member : membership_.All()) {
    const bool acceptsWork =
      member.status_ == MemberStatus::kAlive || member.status_ == MemberStatus::kSuspect;
    if (acceptsWork && member.service_ == aService && !aService.Get().empty()) {
      endpoints.push_back({ member.instance_,
                            member.incarnation_,
                            member.address_,
                            member.failureDomain_,
                            member.region_,
                            member.acceptsDeferredBodies_ });
    }
  }
  return endpoints;
}

void MembershipTask::AnnounceTarget(const common::ServiceName& aService)
{
  Handle(TargetAnnounced{ aService });
}

void MembershipTask::AnnounceTargetLeaving()
{
  Handle(TargetLeaving{});
}

void MembershipTask::StoreWithdrawal(const common::TargetIdentity& aTarget)
{
  Handle(TargetWithdrawn{ aTarget });
}

void MembershipTask::Stop()
{
  Handle(DaemonStopping{});
  tick_.reset();
}

void MembershipTask::SetConfigVersion(common::Version aVersion)
{
  Handle(ConfigVersionChanged{ aVersion });
}

void MembershipTask::Handle(const MembershipEvent& aEvent)
{
  for (const MembershipAction& action : membership_.Handle(aEvent, common::Now())) {
    Perform(action);
  }
}

void MembershipTask::Perform(const MembershipAction& aAction)
{
  if (const auto* send = std::get_if<SendUpdate>(&aAction)) {
    wire::Envelope envelope;
    *envelope.mutable_membership_update() = send->update_;
    sender_.Send(send->destination_, ControlKind::kMembership, envelope);
  } else if (const auto* append = std::get_if<AppendJoinRecord>(&aAction)) {
    WriteJoinRecord(append->self_);
  } else if (std::holds_alternative<ReadJoinRecords>(aAction)) {
    RequestJoinRecords();
  } else if (const auto* withdrawal = std::get_if<AppendWithdrawalRecord>(&aAction)) {
    WriteWithdrawalRecord(withdrawal->self_);
  } else if (std::holds_alternative<NotifyMembersChanged>(aAction)) {
    changed_.emit();
  } else if (const auto* stored = std::get_if<NotifyWithdrawalStored>(&aAction)) {
    withdrawalStored_.emit(stored->target_, stored->store_);
  } else if (const auto* recovered = std::get_if<NotifyWithdrawalRecovered>(&aAction)) {
    common::LogEvent(common::Severity::kInfo,
                     "withdrawal_recovered",
                     { { "start", recovered->target_.incarnationId_ } });
    withdrawalRecovered_.emit(recovered->target_);
  } else if (const auto* finished = std::get_if<NotifyRecoveryFinished>(&aAction)) {
    ReportRecoveryFinished(finished->isComplete_);
    recoveryFinished_.emit();
  }
}

void MembershipTask::OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope)
{
  if (!aEnvelope.has_membership_update()) {
    return;
  }
  const common::Address sender(aEnvelope.sender_address());
  sender_.OnReceived(sender, aFrom, ControlKind::kMembership, aEnvelope);
  Handle(MembershipMessage{
    common::InstanceId(aEnvelope.sender()), sender, aEnvelope.membership_update() });
  sender_.ClearReplyPath();
}

void MembershipTask::RequestJoinRecords()
{
  if (isReadingJoinRecords_) {
    return;
  }
  isReadingJoinRecords_ = true;
  log_.ReadNewest(kMembersStream,
                  [this](const platform::KeyedReadResult& aResult) { OnJoinRecordsRead(aResult); });
}

void MembershipTask::OnJoinRecordsRead(const platform::KeyedReadResult& aResult)
{
  isReadingJoinRecords_ = false;
  if (aResult.status_ != platform::LogStatus::kOk) {
    // The log client has logged the failure; Membership retries until it has joined.
    Handle(JoinRecordsUnavailable{});
    return;
  }
  JoinRecordsRead read;
  for (const platform::KeyedRecord& record : aResult.records_) {
    if (const std::optional<Member> member = ParseJoinRecord(record)) {
      read.members_.push_back(*member);
    }
  }
  Handle(read);
}

std::optional<Member> MembershipTask::ParseJoinRecord(const platform::KeyedRecord& aRecord)
{
  wire::JoinRecord join;
  common::Findings findings;
  if (join.ParseFromString(aRecord.data_)) {
    CheckJoinRecord(aRecord.key_, join, findings);
  } else {
    findings.Add({ "join record", 0, "" }, "is not a protocol buffer");
  }
  if (findings.IsEmpty()) {
    invalidRecords_.erase(aRecord.key_);
    return ParseMember(join.member());
  }
  // The record stays in the log; it is reported once.
  const auto [known, isNew] = invalidRecords_.try_emplace(aRecord.key_, aRecord.offset_);
  if (isNew || known->second != aRecord.offset_) {
    known->second = aRecord.offset_;
    counters_.Add("join_records_invalid_total");
    common::LogEvent(common::Severity::kWarn,
                     "join_record_invalid",
                     { { "key", aRecord.key_ },
                       { "offset", aRecord.offset_.Get() },
                       { "reason", findings.All().front().ToString() } });
  }
  return std::nullopt;
}

void MembershipTask::WriteJoinRecord(const Member& aSelf)
{
  wire::JoinRecord record;
  WriteMember(aSelf, *record.mutable_member());
  log_.AppendKeyed(kMembersStream,
                   JoinRecordKey(aSelf.instance_.Get()),
                   record.SerializeAsString(),
                   [this, aSelf](const platform::AppendResult& aResult) {
                     if (aResult.status_ == platform::LogStatus::kOk) {
                       return;
                     }
                     // Without its join record no new daemon could find this one, so the append
                     // is retried until it succeeds.
                     joinRecordRetry_ =
                       loop_.After(kRecordRetryDelay, [this, aSelf] { WriteJoinRecord(aSelf); });
                   });
}

void MembershipTask::WriteWithdrawalRecord(const Member& aSelf)
{
  wire::JoinRecord record;
  WriteMember(aSelf, *record.mutable_member());
  withdrawalRecordRetry_.reset();
  log_.AppendKeyed(kMembersStream,
                   WithdrawalRecordKey(aSelf.instance_.Get()),
                   record.SerializeAsString(),
                   [this, aSelf](const platform::AppendResult& aResult) {
                     if (aResult.status_ == platform::LogStatus::kOk) {
                       Handle(WithdrawalRecordAppended{ aSelf.withdrawal_ });
                     } else if (aSelf.withdrawal_ == membership_.Self().withdrawal_) {
                       withdrawalRecordRetry_ = loop_.After(
                         kRecordRetryDelay, [this, aSelf] { WriteWithdrawalRecord(aSelf); });
                     }
                   });
}

void MembershipTask::ReportRecoveryFinished(bool aIsComplete)
{
  common::LogEvent(aIsComplete ? common::Severity::kInfo : common::Severity::kWarn,
                   "withdrawals_known",
                   { { "complete", aIsComplete ? "yes" : "no" },
                     { "after_ms", common::ToMilliseconds(common::Now() - startedAt_) } });
}

} // namespace dandelionstand::peer
