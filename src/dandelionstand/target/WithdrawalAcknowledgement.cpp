#include "dandelionstand/target/WithdrawalAcknowledgement.h"

namespace dandelionstand::target {

namespace {

using namespace std::chrono_literals;

//! Time for the second store to confirm.
constexpr common::Duration kSecondStoreTimeout = 400ms;
//! The target waits 1 s for an answer to its report.
constexpr common::Duration kMaxWait = 800ms;

} // namespace

void WithdrawalAcknowledgement::Withdraw(const common::TargetIdentity& aTarget,
                                         common::TimePoint aNow)
{
  if (aTarget != target_) {
    *this = WithdrawalAcknowledgement();
    target_ = aTarget;
    withdrawnAt_ = aNow;
  }
}

void WithdrawalAcknowledgement::OnRecovered(const common::TargetIdentity& aTarget)
{
  if (target_ == common::TargetIdentity()) {
    target_ = aTarget;
  }
  OnStoredInLog(aTarget);
  OnStoredByMember(aTarget);
}

void WithdrawalAcknowledgement::OnStoredInLog(const common::TargetIdentity& aTarget)
{
  isInLog_ = isInLog_ || aTarget == target_;
}

void WithdrawalAcknowledgement::OnStoredByMember(const common::TargetIdentity& aTarget)
{
  isAtMember_ = isAtMember_ || aTarget == target_;
}

WithdrawalAcknowledgement::Decision WithdrawalAcknowledgement::Decide(
  const common::TargetIdentity& aTarget,
  common::TimePoint aReceivedAt,
  bool aHasPeers,
  common::TimePoint aNow) const
{
  if (aTarget != target_ || (isInLog_ && (isAtMember_ || !aHasPeers))) {
    return Decision::kAcknowledge;
  }
  if ((isInLog_ || isAtMember_) && aNow - withdrawnAt_ >= kSecondStoreTimeout) {
    return Decision::kAcknowledge;
  }
  return aNow - aReceivedAt < kMaxWait ? Decision::kWait : Decision::kRefuse;
}

} // namespace dandelionstand::target
