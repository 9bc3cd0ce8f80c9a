#ifndef dandelionstand_peer_SpreadingSettings_h
#define dandelionstand_peer_SpreadingSettings_h

#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <string>

namespace dandelionstand::peer {

//! How records reach a daemon.
enum class SpreadingMode
{
  kTree,   //!< One reader of the log in each region, then a tree in each failure domain.
  kGossip, //!< One reader in each region, then pushes to random members. A baseline.
  kDirect, //!< Each daemon reads the log. A baseline.
};

//! The trade between bytes and time.
struct SpreadingSettings
{
  SpreadingMode mode_ = SpreadingMode::kTree;
  std::size_t fanOut_ = 4;      //!< Children of one daemon inside its failure domain.
  std::size_t relayCopies_ = 2; //!< Daemons of each failure domain that the reader pushes to.
  common::Duration beat_ = std::chrono::seconds(1);             //!< From the reader down the tree.
  common::Duration digest_ = std::chrono::seconds(3);           //!< With a random peer, for repair.
  common::Duration silence_ = std::chrono::milliseconds(2'200); //!< Until a reader counts as gone.
  common::Duration logWait_ = std::chrono::seconds(2);          //!< Long poll of the log.
  common::Duration fetchTimeout_ = std::chrono::milliseconds(500);
  common::Duration startDelay_ = std::chrono::milliseconds(800); //!< Before a new daemon reads.
  common::Duration retryMost_ = std::chrono::seconds(1);         //!< Between reads that fail.
};

//! aProfile is "time" or "bytes"; aMode is "tree", "gossip" or "direct".
SpreadingSettings MakeSpreadingSettings(const std::string& aProfile, const std::string& aMode);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_SpreadingSettings_h
