#include "dandelionstand/peer/MemberTable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

std::uint64_t HashOf(const Member& aMember)
{
  const std::string text = aMember.instance_.Get() + " " +
                           std::to_string(aMember.incarnation_.Get()) + " " +
                           std::to_string(aMember.revision_);
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool MemberTable::Merge(const Member& aIncoming)
{
  const auto [entry, isNew] = members_.try_emplace(aIncoming.instance_, aIncoming);
  if (isNew) {
    return true;
  }
  Member& known = entry->second;
  if (!Supersedes(aIncoming, known)) {
    return MergeWithdrawal(known, aIncoming.withdrawal_);
  }
  const Member previous = std::exchange(known, aIncoming);
  known.configVersion_ = std::max(previous.configVersion_, aIncoming.configVersion_);
  MergeWithdrawal(known, previous.withdrawal_);
  return true;
}

void MemberTable::Remove(const common::InstanceId& aInstance)
{
  members_.erase(aInstance);
}

void MemberTable::SetConfigVersion(const common::InstanceId& aInstance, common::Version aVersion)
{
  const auto found = members_.find(aInstance);
  if (found != members_.end()) {
    found->second.configVersion_ = std::max(found->second.configVersion_, aVersion);
  }
}

const Member* MemberTable::Find(const common::InstanceId& aInstance) const
{
  const auto found = members_.find(aInstance);
  return found == members_.end() ? nullptr : &found->second;
}

Members MemberTable::All() const
{
  Members all;
  for (const auto& [instance, member] : members_) {
    all.push_back(member);
  }
  return all;
}

Members MemberTable::LiveInDomain(const common::FailureDomain& aDomain) const
{
  Members live;
  for (const auto& [instance, member] : members_) {
    if (member.IsLive() && member.failureDomain_ == aDomain) {
      live.push_back(member);
    }
  }
  return live;
}

std::uint64_t MemberTable::DomainHash(const common::FailureDomain& aDomain) const
{
  std::uint64_t hash = 0;
  for (const auto& [instance, member] : members_) {
    if (member.IsLive() && member.failureDomain_ == aDomain) {
      hash ^= HashOf(member);
    }
  }
  return hash;
}

} // namespace dandelionstand::peer
