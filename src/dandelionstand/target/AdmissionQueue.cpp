#include "dandelionstand/target/AdmissionQueue.h"

namespace dandelionstand::target {

AdmissionQueue::~AdmissionQueue() = default;

std::optional<RefusalReason> AdmissionQueue::PredictRefusal(const Work&,
                                                            common::TimePoint,
                                                            common::TimePoint) const
{
  return std::nullopt;
}

std::string_view ToText(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kNotReady:
      return "target-not-ready";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kUnservable:
      return "deadline-hopeless";
    case RefusalReason::kBusy:
      return "busy";
  }
  return "refused";
}

} // namespace dandelionstand::target
