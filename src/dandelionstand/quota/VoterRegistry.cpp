#include "dandelionstand/quota/VoterRegistry.h"

#include "dandelionstand/quota/GrantorLease.h"

#include <utility>

namespace dandelionstand::quota {

Voters VoterRegistry::Update(const peer::Members& aMembers,
                             std::size_t aUnmetCount,
                             common::TimePoint aNow)
{
  Voters voters{ {}, aUnmetCount };
  std::map<common::InstanceId, common::TimePoint> unresponsive;
  for (const peer::Member& member : aMembers) {
    if (member.IsLive()) {
      voters.instances_.insert(member.instance_);
    } else if (!member.hasStopped_) {
      const auto known = unresponsiveSince_.find(member.instance_);
      const common::TimePoint since = known == unresponsiveSince_.end() ? aNow : known->second;
      unresponsive[member.instance_] = since;
      if (aNow < since + GrantorLease::kMaxExtension) {
        voters.instances_.insert(member.instance_);
      }
    }
  }
  unresponsiveSince_ = std::move(unresponsive);
  return voters;
}

} // namespace dandelionstand::quota
