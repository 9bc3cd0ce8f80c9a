#ifndef dandelionstand_target_TargetAnnouncement_h
#define dandelionstand_target_TargetAnnouncement_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>

namespace dandelionstand::target {

enum class TargetPhase
{
  kReady,
  kDraining, //!< Finishes what it has; takes no new work.
  kGone,     //!< Has left, or is about to end.
};

const char* ToText(TargetPhase aPhase);

//! What a target says of itself.
struct TargetAnnouncement
{
  std::string incarnationId_;     //!< Names one start of the target, mostly; see startedAtMs_.
  std::uint64_t startedAtMs_ = 0; //!< Wall clock of the start, ms since the epoch; 0: not said.
  std::uint64_t sequence_ = 0;    //!< Grows within one start; 0: not said.
  common::ServiceName service_;   //!< Not said when it leaves.
  common::Address address_;
  std::uint32_t slots_ = 0;                  //!< Requests that it runs at a time.
  common::Duration remainingColdStart_{ 0 }; //!< How much longer it is slow after its start.
  TargetPhase phase_ = TargetPhase::kReady;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetAnnouncement_h
