#ifndef dandelionstand_target_AdmissionQueue_h
#define dandelionstand_target_AdmissionQueue_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"
#include "dandelionstand/target/AttemptKey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionstand::target {

//! One attempt that needs a slot of the target.
struct Work
{
  AttemptKey key_;
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;
  common::TimePoint deadline_;
  //! An answer by then meets the route's latency objective.
  common::TimePoint objective_ = common::TimePoint::max();
  std::uint32_t rank_ = 0; //!< 0 is the highest priority.
  std::string route_;      //!< Service times are estimated by route.
  //! Time from the end of the work until its answer has left this instance.
  common::Duration transferTime_{ 0 };
  //! True if no other endpoint can be tried, so that the work may wait here beyond its objective.
  bool mayMissObjective_ = true;
};

//! Whether the running time of finished work is a sample of the full service time.
enum class WorkOutcome
{
  kCompleted,
  kAborted, //!< Failed or cancelled; its running time is only a lower bound.
};

enum class RefusalReason
{
  kNotReady,   //!< The target has not announced itself yet, or is no longer available.
  kDraining,   //!< The target or the daemon is shutting down.
  kQueueFull,  //!< The queue is full with work that has priority.
  kUnservable, //!< Wait and service time are estimated to exceed the deadline.
  kBusy,       //!< Would miss its objective here, but may meet it at another endpoint.
};

//! The text of the reason in answers, logs and counters.
std::string_view ToText(RefusalReason aReason);

//! The attempt is to be forwarded to the target now.
struct StartWork
{
  AttemptKey key_;
  bool operator==(const StartWork&) const = default;
};

//! The attempt is to be answered as not run. Returned only for work that was never started.
struct RefuseWork
{
  AttemptKey key_;
  RefusalReason reason_ = RefusalReason::kNotReady;
  bool operator==(const RefuseWork&) const = default;
};

using SlotAction = std::variant<StartWork, RefuseWork>;
using SlotActions = std::vector<SlotAction>;

//! Decides which attempts run on a target's slots, which are queued, and which are refused.
//!
//! Each call returns the actions that the owner of the queue has to carry out.
class AdmissionQueue
{
public:
  virtual ~AdmissionQueue();

  //! Sets the limits. Running work is not stopped if there are fewer slots than before.
  virtual SlotActions SetLimits(std::uint32_t aSlots,
                                std::uint32_t aQueueLength,
                                common::TimePoint aNow) = 0;
  //! Limits the rate of starts; nullopt removes the limit. Work that is already running is
  //! unaffected.
  virtual SlotActions SetMaxStartRate(std::optional<double> aStartsPerSecond,
                                      common::TimePoint aNow) = 0;
  //! The target accepts work. After it becomes ready, its usable slots may grow to the full
  //! number over aRampUpDuration.
  virtual SlotActions MarkReady(common::TimePoint aNow, common::Duration aRampUpDuration) = 0;
  //! The target is unavailable: refuses queued work. Running work continues until
  //! OnWorkFinished().
  virtual SlotActions MarkNotReady(common::TimePoint aNow) = 0;
  //! Refuses new work. The implementation may still start queued work for a limited time.
  virtual SlotActions MarkDraining(common::TimePoint aNow) = 0;

  //! Returns why Offer() would refuse the work at aOfferedAt, as far as it can be known at aNow;
  //! nullopt if it would not, or if the implementation does not predict it.
  virtual std::optional<RefusalReason> PredictRefusal(const Work& aWork,
                                                      common::TimePoint aOfferedAt,
                                                      common::TimePoint aNow) const;
  //! Starts, queues or refuses the work.
  virtual SlotActions Offer(const Work& aWork, common::TimePoint aNow) = 0;
  //! Running work finished. If aKey is queued, it is removed from the queue without an action.
  virtual SlotActions OnWorkFinished(const AttemptKey& aKey,
                                     WorkOutcome aOutcome,
                                     common::TimePoint aNow) = 0;
  //! Refuses and starts queued work as time passes; to be called several times a second.
  virtual SlotActions Tick(common::TimePoint aNow) = 0;

  virtual std::size_t RunningCount() const = 0;
  virtual std::size_t QueuedCount() const = 0;
  //! Estimated service time of the route's requests at the target; 0 if there is no estimate.
  virtual common::Duration MeanServiceTime(const std::string& aRoute) const = 0;
  //! Number of slots that may be used at present.
  virtual std::uint32_t UsableSlots(common::TimePoint aNow) const = 0;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_AdmissionQueue_h
