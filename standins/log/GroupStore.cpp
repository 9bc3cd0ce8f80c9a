#include "standins/log/GroupStore.h"

#include <iterator>

namespace dandelionstand::standins {

GroupStore::Assignment GroupStore::Join(const std::string& aGroup,
                                        const std::string& aTopic,
                                        const std::string& aMember,
                                        common::Duration aTimeToLive,
                                        common::TimePoint aNow)
{
  Group& group = groups_[aGroup];
  group.ownership_.topic_ = aTopic;
  const std::size_t removed =
    std::erase_if(group.expiryByMember_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  const bool isNew = !group.expiryByMember_.contains(aMember);
  group.expiryByMember_[aMember] = aNow + aTimeToLive;
  Assignment assignment;
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    const auto wanted =
      std::next(group.expiryByMember_.begin(),
                partition % static_cast<std::uint32_t>(group.expiryByMember_.size()));
    std::string& holder = group.ownership_.holders_[partition];
    const bool isFree = !group.expiryByMember_.contains(holder) || holder == aMember;
    if (isFree && holder != wanted->first) {
      holder = wanted->first;
      ++group.generation_;
    }
    if (holder == aMember) {
      assignment.partitions_.push_back(partition);
    }
  }
  group.generation_ += isNew || removed > 0 ? 1 : 0;
  assignment.generation_ = group.generation_;
  return assignment;
}

GroupStore::Ownership GroupStore::Owners(const std::string& aGroup) const
{
  const auto found = groups_.find(aGroup);
  return found == groups_.end() ? Ownership() : found->second.ownership_;
}

} // namespace dandelionstand::standins
