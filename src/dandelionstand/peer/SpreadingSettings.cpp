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
    settings.relayCopies_ = 1;
    settings.beat_ = 1'500ms;
    settings.digest_ = 6s;
    settings.silence_ = 3'200ms;
    settings.logWait_ = 3s;
  }
  if (settings.mode_ == SpreadingMode::kGossip) {
    // Without beats the digests alone carry the signs of a reader.
    settings.digest_ /= 3;
    settings.silence_ *= 3;
  }
  return settings;
}

} // namespace dandelionstand::peer
