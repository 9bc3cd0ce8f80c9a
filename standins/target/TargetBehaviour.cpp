#include "standins/target/TargetBehaviour.h"

#include "standins/ControlReader.h"

namespace dandelionstand::standins {

TargetBehaviour ReadTargetControl(const std::string& aText, TargetBehaviour aBehaviour)
{
  ControlReader reader(aText);
  reader.Read("ready", aBehaviour.isReady_);
  reader.Read("slots", aBehaviour.slots_);
  reader.Read("think_ms", aBehaviour.workDuration_);
  reader.Read("cold_requests", aBehaviour.remainingColdRequests_);
  reader.Read("cold_for_ms", aBehaviour.coldDuration_);
  reader.Read("cold_extra_ms", aBehaviour.coldExtraDuration_);
  reader.Read("shed", aBehaviour.isShedding_);
  reader.Read("hang", aBehaviour.isHanging_);
  reader.Read("health_misleads", aBehaviour.isHealthMisleading_);
  reader.Read("load_misleads", aBehaviour.isLoadMisleading_);
  reader.Read("refuse_hopeless", aBehaviour.shedsUnservable_);
  reader.Read("content_version", aBehaviour.contentVersion_);
  reader.Read("break_after_bytes", aBehaviour.breakAfterBytes_);
  reader.Read("breaks", aBehaviour.remainingBreaks_);
  reader.Read("piece_delay_ms", aBehaviour.pieceDelay_);
  reader.RejectUnknownKeys();
  return aBehaviour;
}

} // namespace dandelionstand::standins
