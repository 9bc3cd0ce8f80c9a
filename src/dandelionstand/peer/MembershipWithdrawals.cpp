// Storing and recovery of the withdrawals of this daemon's target.
#include "dandelionstand/peer/Membership.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! Members that a withdrawal is sent to at a time: of this failure domain and of others.
constexpr std::size_t kOwnDomainStores = 1;
constexpr std::size_t kOtherDomainStores = 2;

} // namespace

void Membership::On(const TargetWithdrawn& aWithdrawn)
{
  const bool isKnown =
    self_.withdrawal_.number_ > 0 && self_.withdrawal_.target_ == aWithdrawn.target_;
  if (!isKnown) {
    withdrawnTarget_ = aWithdrawn.target_;
    StoreWithdrawal(aWithdrawn.target_);
  }
}

void Membership::On(const WithdrawalRecordAppended& aAppended)
{
  if (aAppended.withdrawal_ == self_.withdrawal_) {
    isWithdrawalInLog_ = true;
    actions_.push_back(NotifyWithdrawalStored{ self_.withdrawal_.target_, WithdrawalStore::kLog });
  }
}

void Membership::On(const JoinRecordsUnavailable&)
{
  hasTriedJoinRecords_ = true;
}

void Membership::OnOwnState(const Member& aState)
{
  hasReceivedOwnState_ = true;
  RecoverWithdrawal(aState.withdrawal_);
  SucceedEarlierRun(aState);
  Refute(aState);
}

void Membership::RecoverWithdrawal(const TargetWithdrawal& aWithdrawal)
{
  if (!MergeWithdrawal(self_, aWithdrawal)) {
    return;
  }
  isWithdrawalInLog_ = false;
  actions_.push_back(NotifyWithdrawalRecovered{ aWithdrawal.target_ });
  if (withdrawnTarget_ && *withdrawnTarget_ != aWithdrawal.target_) {
    // This daemon numbered its withdrawal without knowing the earlier ones.
    StoreWithdrawal(*withdrawnTarget_);
  } else {
    AnnounceSelfChange();
  }
}

void Membership::StoreWithdrawal(const common::TargetIdentity& aTarget)
{
  self_.withdrawal_ = { self_.withdrawal_.number_ + 1, aTarget };
  isWithdrawalInLog_ = false;
  AnnounceSelfChange();
  actions_.push_back(AppendWithdrawalRecord{ self_ });
  unansweredStoreSequence_ = StateSequence();
  nextWithdrawalSend_ = now_;
  SendWithdrawalIfDue();
}

void Membership::SendWithdrawalIfDue()
{
  if (!unansweredStoreSequence_ ||
      !IsDue(nextWithdrawalSend_, settings_.withdrawalResendInterval_)) {
    return;
  }
  Members others = table_.All();
  std::erase_if(others,
                [](const Member& aMember) { return aMember.status_ == MemberStatus::kDead; });
  const auto firstOther =
    std::partition(others.begin(), others.end(), [this](const Member& aMember) {
      return aMember.failureDomain_ == self_.failureDomain_;
    });
  Members stores = PickRandom({ others.begin(), firstOther }, kOwnDomainStores);
  const Members remoteStores = PickRandom({ firstOther, others.end() }, kOtherDomainStores);
  stores.insert(stores.end(), remoteStores.begin(), remoteStores.end());
  for (const Member& store : stores) {
    wire::MembershipUpdate update = NewSelfUpdate(wire::STORE_STATE);
    update.set_sequence(*unansweredStoreSequence_);
    Send(store.address_, std::move(update));
  }
}

void Membership::AnswerStoreState(const MembershipMessage& aMessage)
{
  const Member* sender = table_.Find(aMessage.sender_);
  if (sender == nullptr || sender->withdrawal_.number_ == 0) {
    return;
  }
  wire::MembershipUpdate answer;
  answer.set_kind(wire::STATE_STORED);
  answer.set_sequence(aMessage.update_.sequence());
  Send(aMessage.senderAddress_, std::move(answer));
}

void Membership::OnStateStored(std::uint64_t aSequence)
{
  if (unansweredStoreSequence_ == aSequence) {
    unansweredStoreSequence_.reset();
    actions_.push_back(
      NotifyWithdrawalStored{ self_.withdrawal_.target_, WithdrawalStore::kMember });
  }
}

void Membership::FinishRecoveryIfDone()
{
  if (!settings_.recoversWithdrawals_ || isRecoveryFinished_) {
    return;
  }
  const bool isComplete =
    (hasTriedJoinRecords_ && hasReceivedOwnState_) || (hasReadJoinRecords_ && !HasPeers());
  if (!isComplete && now_ < recoveryDeadline_) {
    return;
  }
  isRecoveryFinished_ = true;
  if (self_.withdrawal_.number_ > 0 && !isWithdrawalInLog_ && !withdrawnTarget_) {
    // The log was unavailable when the withdrawal was announced.
    actions_.push_back(AppendWithdrawalRecord{ self_ });
  }
  actions_.push_back(NotifyRecoveryFinished{ isComplete });
}

bool Membership::HasPeers() const
{
  const Members all = table_.All();
  const auto isOther = [this](const auto& aAddress) { return aAddress != self_.address_; };
  return all.size() > 1 || !contacts_.empty() ||
         std::any_of(settings_.seeds_.begin(), settings_.seeds_.end(), isOther);
}

std::uint64_t Membership::StateSequence() const
{
  // Differs from that of every earlier incarnation, whose answers may still be under way.
  return self_.incarnation_.Get() + self_.revision_;
}

} // namespace dandelionstand::peer
