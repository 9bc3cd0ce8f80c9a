#ifndef dandelionstand_standins_target_TargetBehaviour_h
#define dandelionstand_standins_target_TargetBehaviour_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>

namespace dandelionstand::standins {

//! What a test makes a target do; set through POST /control.
struct TargetBehaviour
{
  bool isReady_ = true;         //!< As announced to the daemon.
  std::uint64_t slots_ = 0;     //!< More work at once is shed; 0 stands for no limit.
  common::Duration think_{};    //!< Work on each request.
  std::uint64_t coldCount_ = 0; //!< So many more requests take coldExtra_ on top.
  common::Duration coldTime_{}; //!< For this long from now on requests take coldExtra_ on top.
  common::Duration coldExtra_{};
  bool isShedding_ = false;          //!< Sheds every request.
  bool isHanging_ = false;           //!< Runs requests and never answers them.
  bool isHealthMisleading_ = false;  //!< Health says fine whatever is so.
  bool isLoadMisleading_ = false;    //!< Load says idle whatever is so.
  bool refusesHopeless_ = true;      //!< Sheds a request whose Deadline-Ms is less than its work.
  std::uint64_t contentVersion_ = 1; //!< Changes content and ETag.
  std::uint64_t breakAfterBytes_ = 0;
  std::uint64_t breakCount_ = 0;  //!< So many more answers break off after breakAfterBytes_.
  common::Duration pieceDelay_{}; //!< Before each 64 KiB of a streamed body.
};

//! The behaviour with the changes of a control request; throws std::invalid_argument.
TargetBehaviour ReadTargetControl(const std::string& aText, TargetBehaviour aBehaviour);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_TargetBehaviour_h
