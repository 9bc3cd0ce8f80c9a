#ifndef dandelionstand_caller_RememberedNotices_h
#define dandelionstand_caller_RememberedNotices_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/generated/call.pb.h"

#include <map>

namespace dandelionstand::caller {

//! What targets stated about themselves in answers that this daemon received.
//!
//! It is sent along with each call. If the daemon beside a target restarts, it thus learns of a
//! limit from every daemon that must keep to it, before it forwards that daemon's first call.
class RememberedNotices
{
public:
  //! Applies the load report of the daemon beside the target on aInstance.
  void OnReport(const common::InstanceId& aInstance,
                const peer::wire::Load& aLoad,
                common::TimePoint aNow);
  //! Null if the target on aInstance states nothing, as far as known.
  const peer::wire::TargetNotice* Find(const common::InstanceId& aInstance) const;

private:
  struct Entry
  {
    peer::wire::TargetNotice notice_;
    common::TimePoint receivedAt_;
  };

  std::map<common::InstanceId, Entry> entries_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RememberedNotices_h
