#ifndef dandelionstand_target_WithdrawalAcknowledgement_h
#define dandelionstand_target_WithdrawalAcknowledgement_h

#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/common/Time.h"

namespace dandelionstand::target {

//! Decides when the withdrawal of a leaving target may be acknowledged to it.
//!
//! The acknowledgement binds this daemon also after a restart, so the withdrawal has to be stored
//! outside of this process first. Two stores are preferred, the log and another member: each may be
//! lost or unavailable at the restart. One is sufficient once the target has waited for a while,
//! and without any the target is told that its report was not processed.
//!
//! Load pattern: all targets of a service leave within a few seconds, during an outage of the log
//! or while this daemon is cut off from the others, and processes are killed right after an answer.
class WithdrawalAcknowledgement
{
public:
  enum class Decision
  {
    kWait,
    kAcknowledge,
    kRefuse,
  };

  //! Starts over if aTarget is not the current one.
  void Withdraw(const common::TargetIdentity& aTarget, common::TimePoint aNow);
  //! The withdrawal was stored by an earlier process of this daemon.
  void OnRecovered(const common::TargetIdentity& aTarget);
  void OnStoredInLog(const common::TargetIdentity& aTarget);
  void OnStoredByMember(const common::TargetIdentity& aTarget);

  //! Decides on a report that arrived at aReceivedAt. Acknowledges one of another incarnation than
  //! the current one, which promises nothing.
  Decision Decide(const common::TargetIdentity& aTarget,
                  common::TimePoint aReceivedAt,
                  bool aHasPeers,
                  common::TimePoint aNow) const;

private:
  common::TargetIdentity target_;
  common::TimePoint withdrawnAt_;
  bool isInLog_ = false;
  bool isAtMember_ = false;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_WithdrawalAcknowledgement_h
