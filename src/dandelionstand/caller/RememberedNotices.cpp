#include "dandelionstand/caller/RememberedNotices.h"

namespace dandelionstand::caller {

namespace {

//! Notices of instances that sent no report for this long are forgotten.
constexpr common::Duration kMaxAge = std::chrono::minutes(10);

} // namespace

void RememberedNotices::OnReport(const common::InstanceId& aInstance,
                                 const peer::wire::Load& aLoad,
                                 common::TimePoint aNow)
{
  if (!aLoad.notice_known()) {
    return; // The daemon there has restarted and knows less than this one.
  }
  if (!aLoad.has_notice()) {
    entries_.erase(aInstance);
    return;
  }
  std::erase_if(entries_,
                [&](const auto& aEntry) { return aNow - aEntry.second.receivedAt_ > kMaxAge; });
  entries_[aInstance] = { aLoad.notice(), aNow };
}

const peer::wire::TargetNotice* RememberedNotices::Find(const common::InstanceId& aInstance) const
{
  const auto found = entries_.find(aInstance);
  return found == entries_.end() ? nullptr : &found->second.notice_;
}

} // namespace dandelionstand::caller
