#ifndef dandelionstand_target_AdmissionQueue_h
#define dandelionstand_target_AdmissionQueue_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"
#include "dandelionstand/target/AttemptKey.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionstand::target {

//! One request that wants a slot.
struct Work
{
  AttemptKey key_;
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;
  common::TimePoint deadline_;
  common::TimePoint objective_ = common::TimePoint::max(); //!< Full worth for an answer by then.
  std::uint32_t rank_ = 0;                                 //!< 0 goes first.
  std::string route_;                                      //!< Requests of a route take alike.
  //! No other endpoint will be tried, so it may wait here beyond its objective.
  bool mayMissObjective_ = true;
};

//! How running work ended, as far as its time tells how long such work takes.
enum class WorkOutcome
{
  kCompleted,
  kAborted, //!< It failed or was cancelled; whole, it would have taken longer.
};

enum class RefusalReason
{
  kNotReady,   //!< The target has not announced itself, or left.
  kDraining,   //!< The target or the daemon is leaving.
  kQueueFull,  //!< Every place in the queue is taken by work that goes first.
  kUnservable, //!< The time left is less than the wait and the work would take.
  kBusy,       //!< It would be late here, and may be in time elsewhere.
};

//! The reason's text in answers, logs and counters.
std::string_view ToText(RefusalReason aReason);

//! Forward the request now.
struct StartWork
{
  AttemptKey key_;
  bool operator==(const StartWork&) const = default;
};

//! Answer that the request was not run. Given only for work that was never started.
struct RefuseWork
{
  AttemptKey key_;
  RefusalReason reason_ = RefusalReason::kNotReady;
  bool operator==(const RefuseWork&) const = default;
};

using SlotAction = std::variant<StartWork, RefuseWork>;
using SlotActions = std::vector<SlotAction>;

//! Decides which requests run on a target's slots, which wait, and which are refused.
class AdmissionQueue
{
public:
  virtual ~AdmissionQueue();

  //! Takes new limits; running work above a lower count of slots finishes.
  virtual SlotActions SetLimits(std::uint32_t aSlots,
                                std::uint32_t aQueueLength,
                                common::TimePoint aNow) = 0;
  //! The target can take work, in a growing share of its slots during aRampUpDuration after the
  //! first call.
  virtual SlotActions MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration) = 0;
  //! The target is gone: waiting work is refused; running work is ended by its own result.
  virtual SlotActions MarkNotReady(common::TimePoint aNow) = 0;
  //! No new work is accepted. Waiting work may start for a while.
  virtual SlotActions MarkDraining(common::TimePoint aNow) = 0;

  virtual SlotActions Offer(const Work& aWork, common::TimePoint aNow) = 0;
  //! RunningCount work ended; waiting work is dropped if aKey names it.
  virtual SlotActions OnWorkFinished(const AttemptKey& aKey,
                                     WorkOutcome aOutcome,
                                     common::TimePoint aNow) = 0;
  //! To be called a few times a second.
  virtual SlotActions Tick(common::TimePoint aNow) = 0;

  virtual std::size_t RunningCount() const = 0;
  virtual std::size_t QueuedCount() const = 0;
  //! Usual time of the route's requests at the target; 0 if it is not measured by route.
  virtual common::Duration MeanServiceTime(const std::string& aRoute) const = 0;
  //! Slots that may be used at present.
  virtual std::uint32_t UsableSlots(common::TimePoint aNow) const = 0;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_AdmissionQueue_h
