#include "dandelionstand/quota/QuotaGrantor.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/organisations/OrganisationTable.h"
#include "dandelionstand/peer/generated/quota.pb.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelionstand::quota {

namespace {

const std::string kGroup = "quota";
const std::string kTopic = "quota";
constexpr double kMilli = 1000;

//! A member of the group names its address and its run.
std::string GroupMemberOf(const peer::Member& aMember)
{
  return aMember.address_.Get() + "/" + std::to_string(aMember.incarnation_.Get());
}

common::Address AddressOf(const std::string& aGroupMember)
{
  return common::Address(aGroupMember.substr(0, aGroupMember.find('/')));
}

} // namespace

QuotaGrantor::QuotaGrantor(common::Counters& aCounters,
                           peer::ControlSender& aSender,
                           peer::Transport& aTransport,
                           platform::LogGroups& aGroups,
                           ConfigSource aConfigSource,
                           const peer::Member& aSelf,
                           const QuotaRule& aRule,
                           OwnerTable& aOwners)
  : counters_(aCounters)
  , groups_(aGroups)
  , configSource_(std::move(aConfigSource))
  , self_(aSelf)
  , rule_(aRule)
  , owners_(aOwners)
  , exchange_(aCounters, aSender, aTransport, aSelf, lease_)
{
}

void QuotaGrantor::Join()
{
  const config::ConfigStatePtr config = configSource_();
  if (!isCandidate_ || !config || !config->organisations_ || config->organisations_->IsEmpty()) {
    return;
  }
  const common::TimePoint sentAt = common::BootNow();
  groups_.JoinGroup(
    { .group_ = kGroup,
      .member_ = GroupMemberOf(self_),
      .topic_ = kTopic,
      .timeToLive_ = GrantorLease::kTimeToLive,
      .generation_ = lease_.Generation() },
    GrantorLease::kJoinInterval,
    [this, sentAt](const platform::GroupJoinResult& aResult) { OnJoined(aResult, sentAt); });
}

void QuotaGrantor::OnJoined(const platform::GroupJoinResult& aResult, common::TimePoint aSentAt)
{
  const common::TimePoint now = common::BootNow();
  if (aResult.status_ != platform::LogStatus::kOk) {
    lease_.OnJoinFailed();
    return;
  }
  const bool isNewGeneration = aResult.generation_ != lease_.Generation();
  lease_.OnJoined(aResult.generation_, aResult.partitions_, aSentAt, now);
  if (isNewGeneration) {
    common::LogEvent(
      common::Severity::kInfo,
      "quota_partitions_assigned",
      { { "generation", aResult.generation_ }, { "partitions", aResult.partitions_.size() } });
  }
  if (aResult.generation_ > owners_.Generation() || !AgreesWithOwners(aResult.partitions_)) {
    ReadOwners(aResult.generation_);
  }
}

bool QuotaGrantor::AgreesWithOwners(const std::vector<std::uint32_t>& aPartitions) const
{
  return std::all_of(aPartitions.begin(), aPartitions.end(), [&](std::uint32_t aPartition) {
    const auto owner = owners_.All().find(aPartition);
    return owner != owners_.All().end() && owner->second == self_.address_;
  });
}

void QuotaGrantor::ReadOwners(std::uint64_t aGeneration)
{
  groups_.ReadOwners(kGroup, [this, aGeneration](const platform::GroupOwnersResult& aResult) {
    if (aResult.status_ != platform::LogStatus::kOk) {
      return; // Read again with the next join.
    }
    OwnerTable::Owners owners;
    for (const platform::PartitionOwner& owner : aResult.owners_) {
      owners[owner.partition_] = AddressOf(owner.member_);
    }
    if (owners_.Apply(aGeneration, std::move(owners))) {
      OnOwnersChanged();
    }
  });
}

void QuotaGrantor::OnOwnersChanged()
{
  exchange_.SetOwners(owners_);
  if (owners_.Generation() <= lease_.Generation()) {
    return;
  }
  for (const auto& [partition, address] : owners_.All()) {
    if (address != self_.address_) {
      lease_.Release(partition);
    }
  }
}

Tenure QuotaGrantor::TenureOf(std::uint32_t aPartition, common::TimePoint aSince) const
{
  // Tokens of an earlier grantor may be spent for their lifetime.
  const bool isQuiet = lease_.QuietBefore(aPartition) >= rule_.window_ + TokenLifetime(rule_);
  return { aSince, !isQuiet };
}

bool QuotaGrantor::Issue(const common::InstanceId& aRequester,
                         const peer::wire::QuotaRequest& aRequest,
                         peer::wire::QuotaReply& aReply,
                         common::TimePoint aNow)
{
  const config::ConfigStatePtr config = configSource_();
  bool isOwner = true;
  for (const peer::wire::QuotaItem& item : aRequest.items()) {
    const common::OrganisationName name(item.organisation());
    const organisations::Organisation* organisation =
      config && config->organisations_ ? config->organisations_->Find(name) : nullptr;
    // Without the owners the partition of an organisation is not known.
    const auto partition = owners_.PartitionOf(name);
    const auto since = partition ? lease_.HeldSince(*partition, aNow) : std::nullopt;
    if (organisation == nullptr || !since) {
      isOwner = false;
      continue;
    }
    const Grant grant = issuer_.Issue(name,
                                      QuotaLimits(*organisation, rule_),
                                      aRequester,
                                      { item.wanted(), item.demand_milli_per_s() / kMilli },
                                      TenureOf(*partition, *since),
                                      aNow);
    counters_.Add("quota_grants_total", grant.tokens_);
    peer::wire::QuotaGrant& written = *aReply.add_grants();
    written.set_organisation(item.organisation());
    written.set_granted(grant.tokens_);
    written.set_retry_after_ms(
      static_cast<std::uint32_t>(common::ToMilliseconds(grant.retryAfter_)));
  }
  return isOwner;
}

} // namespace dandelionstand::quota
