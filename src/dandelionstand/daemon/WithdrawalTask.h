#ifndef dandelionstand_daemon_WithdrawalTask_h
#define dandelionstand_daemon_WithdrawalTask_h

#include "dandelionstand/peer/MembershipTask.h"
#include "dandelionstand/platform/TargetReportServer.h"
#include "dandelionstand/target/TargetMonitor.h"
#include "dandelionstand/target/WithdrawalAcknowledgement.h"

#include <sigc++/trackable.h>

#include <memory>
#include <vector>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::daemon {

//! Stores the withdrawals of a leaving target through the membership before its reports are
//! answered, and passes on those that earlier processes of this daemon stored.
//! Counters: `target_withdrawals_total` by outcome of the report.
class WithdrawalTask : public sigc::trackable
{
public:
  WithdrawalTask(common::EventLoop& aLoop,
                 common::Counters& aCounters,
                 peer::MembershipTask& aMembership,
                 target::TargetMonitor& aTargetMonitor);
  ~WithdrawalTask();

  void OnAnnouncement(const target::TargetAnnouncement& aAnnouncement,
                      platform::TargetReportServer::Reply aReply);

private:
  struct PendingReply
  {
    common::TargetIdentity target_;
    common::TimePoint receivedAt_;
    platform::TargetReportServer::Reply reply_;
  };

  void OnWithdrawn(const common::TargetIdentity& aTarget);
  void OnStored(const common::TargetIdentity& aTarget, peer::WithdrawalStore aStore);
  void OnRecovered(const common::TargetIdentity& aTarget);
  void ReplyWhereDecided();
  //! False if the decision is still open.
  bool TryReply(const PendingReply& aPending);

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::MembershipTask& membership_;
  target::TargetMonitor& targetMonitor_;
  target::WithdrawalAcknowledgement acknowledgement_;
  std::vector<PendingReply> pendingReplies_;
  std::unique_ptr<common::Watch> checkTimer_; //!< Set while replies are pending.
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_WithdrawalTask_h
