#ifndef dandelionstand_target_WireNotice_h
#define dandelionstand_target_WireNotice_h

#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/dialect/TargetNotice.h"
#include "dandelionstand/target/NoticeTracker.h"

namespace dandelionstand::peer::wire {
class Load;
class TargetNotice;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::target {

common::TargetIdentity ParseIdentity(const peer::wire::TargetNotice& aWire);
dialect::TargetNotice ParseNotice(const peer::wire::TargetNotice& aWire);
//! Adds what the target states, as far as this daemon knows it, to a load report.
void WriteNotice(const NoticeTracker& aNotices, peer::wire::Load& aLoad);

} // namespace dandelionstand::target

#endif // dandelionstand_target_WireNotice_h
