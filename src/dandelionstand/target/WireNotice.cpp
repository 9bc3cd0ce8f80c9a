#include "dandelionstand/target/WireNotice.h"

#include "dandelionstand/peer/generated/call.pb.h"

namespace dandelionstand::target {

common::TargetIdentity ParseIdentity(const peer::wire::TargetNotice& aWire)
{
  return { aWire.target_incarnation_id(), aWire.target_started_at_ms() };
}

dialect::TargetNotice ParseNotice(const peer::wire::TargetNotice& aWire)
{
  dialect::TargetNotice notice;
  if (aWire.has_limit()) {
    notice.maxRequestsPerSecond_ = aWire.max_requests_per_second();
  }
  notice.isLeaving_ = aWire.is_leaving();
  return notice;
}

void WriteNotice(const NoticeTracker& aNotices, peer::wire::Load& aLoad)
{
  aLoad.set_notice_known(aNotices.IsConfirmed());
  const dialect::TargetNotice& notice = aNotices.Current();
  if (!aNotices.IsConfirmed() || (!notice.maxRequestsPerSecond_ && !notice.isLeaving_)) {
    return;
  }
  peer::wire::TargetNotice& wire = *aLoad.mutable_notice();
  wire.set_target_incarnation_id(aNotices.Target().incarnationId_);
  wire.set_target_started_at_ms(aNotices.Target().startedAtMs_);
  wire.set_has_limit(notice.maxRequestsPerSecond_.has_value());
  wire.set_max_requests_per_second(notice.maxRequestsPerSecond_.value_or(0));
  wire.set_is_leaving(notice.isLeaving_);
}

} // namespace dandelionstand::target
