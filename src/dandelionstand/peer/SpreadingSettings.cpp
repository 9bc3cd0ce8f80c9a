#include "dandelionstand/peer/SpreadingSettings.h"

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

SpreadingMode ParseMode(const std::string& aMode)
{
  if (aMode == "direct") {
    return SpreadingMode::kDirect;
  }
  return aMode == "gossip" ? SpreadingMode::kGossip : SpreadingMode::kTree;
}

} // namespace

SpreadingSettings MakeSpreadingSettings(const std::string& aProfile, const std::string& aMode)
{
  SpreadingSettings settings;
  settings.mode_ = ParseMode(aMode);
  if (aProfile == "bytes") {
    settings.relaysPerDomain_ = 1;
    settings.readerHeartbeatInterval_ = 1'500ms;
    settings.digestInterval_ = 6s;
    settings.readerTimeout_ = 3'200ms;
    settings.longPollTimeout_ = 3s;
  }
  if (settings.mode_ == SpreadingMode::kGossip) {
    // Without reader heartbeats, only digests report that a reader is alive.
    settings.digestInterval_ /= 3;
    settings.readerTimeout_ *= 3;
  }
  return settings;
}

} // namespace dandelionstand::peer
