#ifndef dandelionstand_standins_target_TargetBehaviour_h
#define dandelionstand_standins_target_TargetBehaviour_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>

namespace dandelionstand::standins {

//! Behaviour of a target, set by POST /control.
struct TargetBehaviour
{
  bool isReady_ = true;             //!< As announced to the daemon.
  std::uint64_t slots_ = 0;         //!< Requests above this concurrency are shed; 0 means no limit.
  common::Duration workDuration_{}; //!< Work time per request.
  //! Number of further requests that take coldExtraDuration_ longer.
  std::uint64_t remainingColdRequests_ = 0;
  //! Time after a control request during which requests take coldExtraDuration_ longer.
  common::Duration coldDuration_{};
  common::Duration coldExtraDuration_{};
  bool isShedding_ = false;          //!< Sheds every request.
  bool isHanging_ = false;           //!< Runs requests and never answers them.
  bool isHealthMisleading_ = false;  //!< `/health` always reports a healthy target.
  bool isLoadMisleading_ = false;    //!< `/load` always reports an idle target.
  bool shedsUnservable_ = true;      //!< Sheds requests whose Deadline-Ms is less than their work.
  std::uint64_t contentVersion_ = 1; //!< A change of it changes contents and ETags.
  std::uint64_t breakAfterBytes_ = 0;
  std::uint64_t remainingBreaks_ = 0; //!< Number of further answers cut after breakAfterBytes_.
  common::Duration pieceDelay_{};     //!< Before each 64 KiB of a streamed body.
};

//! Returns aBehaviour with the changes of a control request. Throws std::invalid_argument if the
//! request is malformed.
TargetBehaviour ReadTargetControl(const std::string& aText, TargetBehaviour aBehaviour);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_TargetBehaviour_h
