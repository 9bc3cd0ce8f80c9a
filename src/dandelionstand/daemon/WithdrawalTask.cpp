#include "dandelionstand/daemon/WithdrawalTask.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Milliseconds.h"

#include <sigc++/functors/mem_fun.h>

#include <utility>

namespace dandelionstand::daemon {

namespace {

using Answer = platform::TargetReportServer::Answer;
using Decision = target::WithdrawalAcknowledgement::Decision;

constexpr common::Duration kCheckInterval = std::chrono::milliseconds(50);

} // namespace

WithdrawalTask::WithdrawalTask(common::EventLoop& aLoop,
                               common::Counters& aCounters,
                               peer::MembershipTask& aMembership,
                               target::TargetMonitor& aTargetMonitor)
  : loop_(aLoop)
  , counters_(aCounters)
  , membership_(aMembership)
  , targetMonitor_(aTargetMonitor)
{
  targetMonitor_.Withdrawn().connect(sigc::mem_fun(*this, &WithdrawalTask::OnWithdrawn));
  membership_.WithdrawalStored().connect(sigc::mem_fun(*this, &WithdrawalTask::OnStored));
  membership_.WithdrawalRecovered().connect(sigc::mem_fun(*this, &WithdrawalTask::OnRecovered));
  membership_.RecoveryFinished().connect(
    sigc::mem_fun(targetMonitor_, &target::TargetMonitor::OnEarlierWithdrawalsKnown));
}

WithdrawalTask::~WithdrawalTask() = default;

void WithdrawalTask::OnAnnouncement(const target::TargetAnnouncement& aAnnouncement,
                                    platform::TargetReportServer::Reply aReply)
{
  const target::TargetMonitor::Result result = targetMonitor_.OnAnnouncement(aAnnouncement);
  if (!result.withdrawn_) {
    aReply(result.isForeign_ ? Answer::kRefused : Answer::kProcessed);
    return;
  }
  PendingReply pending{ *result.withdrawn_, common::Now(), std::move(aReply) };
  if (TryReply(pending)) {
    return;
  }
  pendingReplies_.push_back(std::move(pending));
  if (!checkTimer_) {
    checkTimer_ = loop_.Every(kCheckInterval, [this] { ReplyWhereDecided(); });
  }
}

void WithdrawalTask::OnWithdrawn(const common::TargetIdentity& aTarget)
{
  acknowledgement_.Withdraw(aTarget, common::Now());
  membership_.StoreWithdrawal(aTarget);
}

void WithdrawalTask::OnStored(const common::TargetIdentity& aTarget, peer::WithdrawalStore aStore)
{
  if (aStore == peer::WithdrawalStore::kLog) {
    acknowledgement_.OnStoredInLog(aTarget);
  } else {
    acknowledgement_.OnStoredByMember(aTarget);
  }
  ReplyWhereDecided();
}

void WithdrawalTask::OnRecovered(const common::TargetIdentity& aTarget)
{
  acknowledgement_.OnRecovered(aTarget);
  targetMonitor_.OnEarlierWithdrawal(aTarget);
  ReplyWhereDecided();
}

void WithdrawalTask::ReplyWhereDecided()
{
  std::erase_if(pendingReplies_,
                [this](const PendingReply& aPending) { return TryReply(aPending); });
  if (pendingReplies_.empty()) {
    checkTimer_.reset();
  }
}

bool WithdrawalTask::TryReply(const PendingReply& aPending)
{
  const common::TimePoint now = common::Now();
  const Decision decision = acknowledgement_.Decide(
    aPending.target_, aPending.receivedAt_, membership_.State().HasPeers(), now);
  if (decision == Decision::kWait) {
    return false;
  }
  const bool isAcknowledged = decision == Decision::kAcknowledge;
  counters_.Add(std::string("target_withdrawals_total{outcome=\"") +
                (isAcknowledged ? "acknowledged" : "refused") + "\"}");
  common::LogEvent(isAcknowledged ? common::Severity::kInfo : common::Severity::kWarn,
                   isAcknowledged ? "withdrawal_acknowledged" : "withdrawal_not_stored",
                   { { "start", aPending.target_.incarnationId_ },
                     { "wait_ms", common::ToMilliseconds(now - aPending.receivedAt_) } });
  aPending.reply_(isAcknowledged ? Answer::kProcessed : Answer::kNotStored);
  return true;
}

} // namespace dandelionstand::daemon
