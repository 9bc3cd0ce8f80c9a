#include "dandelionstand/peer/SpreadingTask.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/Snapshot.h"
#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/Rank.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/platform/Log.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

const platform::StreamName kConfigStream("config");
constexpr common::Duration kTickInterval = 50ms;
//! The replica skips a gap that no snapshot of the log or a peer has bridged within this time.
constexpr common::Duration kForceGapTimeout = 10s;

} // namespace

SpreadingTask::SpreadingTask(common::EventLoop& aLoop,
                             common::Counters& aCounters,
                             ControlSender& aSender,
                             Transport& aTransport,
                             platform::Log& aLog,
                             const Member& aSelf,
                             const SpreadingSettings& aSettings)
  : loop_(aLoop)
  , counters_(aCounters)
  , sender_(aSender)
  , log_(aLog)
  , self_(aSelf)
  , members_{ aSelf }
  , spreading_(aSelf, aSettings, common::Now(), std::mt19937_64(aSelf.incarnation_.Get()))
  , convergence_(aSelf)
  , snapshotPolicy_({}, aSelf.incarnation_.Get())
{
  aTransport.Received().connect(sigc::mem_fun(*this, &SpreadingTask::OnReceived));
  tickTimer_ = loop_.Every(kTickInterval, [this] { OnTick(); });
}

SpreadingTask::~SpreadingTask() = default;

config::ConfigStatePtr SpreadingTask::ActiveConfig()
{
  return MayServe().mayServe_ ? replica_.State() : nullptr;
}

VersionFloor::Decision SpreadingTask::MayServe()
{
  return spreading_.MayServe(common::Now());
}

void SpreadingTask::SetMembers(const Members& aMembers, bool aHasJoined)
{
  members_ = aMembers;
  convergence_.SetMembers(aMembers);
  Handle(MembersUpdated{ aMembers, aHasJoined });
}

std::vector<DomainVersions> SpreadingTask::QueryVersions()
{
  Send(convergence_.QueryCollectors());
  return convergence_.VersionsByDomain();
}

void SpreadingTask::Handle(const SpreadingEvent& aEvent)
{
  for (const SpreadingAction& action : spreading_.Handle(aEvent, common::Now())) {
    Perform(action);
  }
}

void SpreadingTask::Perform(const SpreadingAction& aAction)
{
  if (const auto* send = std::get_if<SendSpreading>(&aAction)) {
    Send(send->destination_, send->message_);
  } else if (const auto* snapshot = std::get_if<SendSnapshot>(&aAction)) {
    SendWithSnapshot(*snapshot);
  } else if (const auto* apply = std::get_if<ApplyRecords>(&aAction)) {
    Apply(apply->records_);
  } else if (const auto* restore = std::get_if<ApplySnapshot>(&aAction)) {
    Restore(*restore);
  } else if (const auto* skip = std::get_if<SkipToOffset>(&aAction)) {
    replica_.OnGap(skip->firstRetainedOffset_);
    gapSince_ = common::Now();
    OnReplicaChanged();
  } else if (const auto* read = std::get_if<ReadLog>(&aAction)) {
    Read(*read);
  }
}

void SpreadingTask::Send(const common::Address& aTo, const wire::SpreadingMessage& aMessage)
{
  wire::Envelope envelope;
  *envelope.mutable_spreading() = aMessage;
  sender_.Send(aTo, ControlKind::kSpreading, envelope);
}

void SpreadingTask::Send(const ConvergenceActions& aActions)
{
  for (const SendConvergence& send : aActions) {
    wire::Envelope envelope;
    *envelope.mutable_convergence() = send.message_;
    sender_.Send(send.destination_, ControlKind::kConvergence, envelope);
  }
}

void SpreadingTask::OnReceived(const PeerRef& aFrom, const wire::Envelope& aEnvelope)
{
  const common::InstanceId sender(aEnvelope.sender());
  const common::Address address(aEnvelope.sender_address());
  if (aEnvelope.has_spreading()) {
    sender_.OnReceived(address, aFrom, ControlKind::kSpreading, aEnvelope);
    Handle(SpreadingMessageReceived{ sender, address, aEnvelope.spreading() });
    sender_.ClearReplyPath();
    UpdateActiveVersion();
  } else if (aEnvelope.has_convergence()) {
    sender_.OnReceived(address, aFrom, ControlKind::kConvergence, aEnvelope);
    Send(convergence_.OnMessage(sender, address, aEnvelope.convergence()));
    sender_.ClearReplyPath();
  }
}

void SpreadingTask::OnTick()
{
  Handle(SpreadingTick{});
  ForceGapIfOverdue();
  AppendSnapshotIfDue();
  UpdateActiveVersion();
  Send(convergence_.Tick(activeVersion_, common::Now()));
  counters_.Set("spreading_is_reader", spreading_.IsReader() ? 1 : 0);
}

void SpreadingTask::Read(const ReadLog& aRead)
{
  const std::uint64_t sequence = aRead.sequence_;
  log_.Read(kConfigStream,
            aRead.fromOffset_,
            aRead.pollTimeout_,
            [this, sequence](const platform::ReadResult& aResult) {
              if (aResult.status_ == platform::LogStatus::kOk) {
                logFirst_ = aResult.firstOffset_;
                logNext_ = aResult.endOffset_;
              }
              Handle(LogReadCompleted{ sequence, aResult });
              UpdateActiveVersion();
            });
}

void SpreadingTask::Apply(const Records& aRecords)
{
  for (const platform::Record& record : aRecords) {
    const common::Offset previous(record.offset_.Get() - 1);
    ReportRefusedRecords(replica_.OnRecord(previous, { record.offset_, record.data_ }));
  }
  OnReplicaChanged();
}

void SpreadingTask::Restore(const ApplySnapshot& aSnapshot)
{
  common::Findings findings;
  const std::optional<config::Snapshot> snapshot =
    config::DecodeSnapshotRecord(aSnapshot.data_, "snapshot of a peer", findings);
  if (!snapshot.has_value()) {
    counters_.Add("config_snapshots_refused_total");
    common::LogEvent(
      common::Severity::kWarn, "config_snapshot_refused", { { "findings", findings.ToString() } });
    return;
  }
  std::vector<config::EvaluatedRecord> evaluated;
  const config::AdoptOutcome outcome = replica_.OnSnapshot(*snapshot, evaluated);
  if (outcome == config::AdoptOutcome::kAdopted) {
    counters_.Add("config_snapshots_adopted_total");
    common::LogEvent(common::Severity::kInfo,
                     "config_snapshot_adopted",
                     { { "through", snapshot->appliedOffset_.Get() } });
  }
  ReportRefusedRecords(evaluated);
  OnReplicaChanged();
}

void SpreadingTask::SendWithSnapshot(const SendSnapshot& aSend)
{
  wire::SpreadingMessage message = aSend.message_;
  message.mutable_snapshot()->set_through(replica_.AppliedOffset().Get());
  message.mutable_snapshot()->set_data(
    config::EncodeSnapshot(*replica_.State(), replica_.AppliedOffset()));
  Send(aSend.destination_, message);
}

void SpreadingTask::ForceGapIfOverdue()
{
  if (!replica_.HasGap()) {
    gapSince_.reset();
  } else if (gapSince_.has_value() && common::Now() > *gapSince_ + kForceGapTimeout) {
    common::LogEvent(common::Severity::kError, "config_gap_forced", {});
    ReportRefusedRecords(replica_.ForceCloseGap());
    OnReplicaChanged();
  }
}

void SpreadingTask::AppendSnapshotIfDue()
{
  config::SnapshotPolicyInput view;
  view.version_ = mayServe_ ? replica_.State()->version_ : common::Version();
  view.appliedOffset_ = replica_.AppliedOffset();
  view.logFirst_ = logFirst_;
  view.logNext_ = logNext_;
  view.snapshotOffset_ = replica_.SnapshotOffset();
  view.rank_ = SnapshotRank();
  view.hasGap_ = replica_.HasGap();
  for (const Member& member : members_) {
    view.knownVersion_ = std::max(view.knownVersion_, member.configVersion_);
  }
  const bool mayAppend = spreading_.IsReader() && logNext_.Get() > 0 && !isAppendingSnapshot_;
  if (!mayAppend || !snapshotPolicy_.ShouldAppend(common::Now(), view)) {
    return;
  }
  isAppendingSnapshot_ = true;
  counters_.Add("config_snapshots_appended_total");
  log_.Append(kConfigStream,
              config::EncodeSnapshot(*replica_.State(), replica_.AppliedOffset()),
              [this](const platform::AppendResult&) { isAppendingSnapshot_ = false; });
}

std::uint32_t SpreadingTask::SnapshotRank() const
{
  // Only readers append, the best-ranked region head first.
  Members heads;
  for (const Member& member : members_) {
    if (member.IsLive() &&
        HeadAndStandby(members_, member.region_).front().instance_ == member.instance_) {
      heads.push_back(member);
    }
  }
  std::sort(heads.begin(), heads.end(), [](const Member& aLhs, const Member& aRhs) {
    return RankHash(aLhs.instance_) < RankHash(aRhs.instance_);
  });
  return static_cast<std::uint32_t>(IndexOf(heads, self_.instance_));
}

void SpreadingTask::ReportRefusedRecords(const std::vector<config::EvaluatedRecord>& aEvaluated)
{
  for (const config::EvaluatedRecord& evaluated : aEvaluated) {
    const config::AcceptOutcome outcome = evaluated.result_.outcome_;
    const bool isRefused = outcome == config::AcceptOutcome::kConflict ||
                           outcome == config::AcceptOutcome::kInvalid ||
                           outcome == config::AcceptOutcome::kGarbage;
    if (isRefused) {
      counters_.Add("config_records_refused_total");
      common::LogEvent(common::Severity::kWarn,
                       "config_refused",
                       { { "offset", evaluated.offset_.Get() },
                         { "findings", evaluated.result_.findings_.ToString() } });
    }
  }
}

void SpreadingTask::OnReplicaChanged()
{
  Handle(ReplicaUpdated{ replica_.AppliedOffset(), replica_.HasGap() });
  UpdateActiveVersion();
}

void SpreadingTask::UpdateActiveVersion()
{
  const VersionFloor::Decision decision = MayServe();
  if (!mayServe_ && decision.mayServe_) {
    common::LogEvent(
      common::Severity::kInfo, "serving", { { "reason", ToText(decision.reason_) } });
  }
  mayServe_ = decision.mayServe_;
  const common::Version version = replica_.State()->version_;
  if (!mayServe_ || version == activeVersion_) {
    return;
  }
  activeVersion_ = version;
  counters_.Set("config_version", version.Get());
  common::LogEvent(common::Severity::kInfo, "config_in_force", { { "version", version.Get() } });
  versionChanged_.emit(version);
}

} // namespace dandelionstand::peer
