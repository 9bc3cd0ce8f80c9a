#include "dandelionstand/target/AdmissionQueue.h"

namespace dandelionstand::target {

AdmissionQueue::~AdmissionQueue() = default;

std::string_view ToText(RefuseReason aReason)
{
  switch (aReason) {
    case RefuseReason::kNotReady:
      return "target-not-ready";
    case RefuseReason::kDraining:
      return "draining";
    case RefuseReason::kQueueFull:
      return "queue-full";
    case RefuseReason::kHopeless:
      return "deadline-hopeless";
    case RefuseReason::kBusy:
      return "busy";
  }
  return "refused";
}

} // namespace dandelionstand::target
