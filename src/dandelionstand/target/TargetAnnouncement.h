#ifndef dandelionstand_target_TargetAnnouncement_h
#define dandelionstand_target_TargetAnnouncement_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>

namespace dandelionstand::target {

enum class TargetPhase
{
  kReady,
  kDraining, //!< Finishes accepted work; accepts no new work.
  kGone,     //!< Has shut down, or is about to.
};

const char* ToText(TargetPhase aPhase);

//! The state of a target as it reports it.
struct TargetAnnouncement
{
  std::string incarnationId_;     //!< May be reused by a later incarnation; see startedAtMs_.
  std::uint64_t startedAtMs_ = 0; //!< Wall-clock start time, ms since the epoch; 0 if unknown.
  std::uint64_t sequence_ = 0;    //!< Increases within an incarnation; 0 if unknown.
  common::ServiceName service_;   //!< Empty when it leaves.
  common::Address address_;
  std::uint32_t slots_ = 0;                  //!< Number of requests that it runs concurrently.
  common::Duration remainingColdStart_{ 0 }; //!< How much longer it is slow after its start.
  TargetPhase phase_ = TargetPhase::kReady;

  common::TargetIdentity Identity() const { return { incarnationId_, startedAtMs_ }; }
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetAnnouncement_h
