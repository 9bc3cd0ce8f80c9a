#ifndef dandelionstand_peer_SpreadingSettings_h
#define dandelionstand_peer_SpreadingSettings_h

#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <string>

namespace dandelionstand::peer {

//! How records are distributed to daemons.
enum class SpreadingMode
{
  kTree,   //!< One reader of the log per region, then a tree in each failure domain.
  kGossip, //!< One reader per region, then pushes to random members. For comparison.
  kDirect, //!< Each daemon reads the log. For comparison.
};

//! Shorter intervals and more copies spread records faster, but send more bytes.
struct SpreadingSettings
{
  SpreadingMode mode_ = SpreadingMode::kTree;
  //! Children of each daemon in the tree of its failure domain.
  std::size_t fanOut_ = 4;
  //! Daemons that the reader pushes to in each other failure domain of its region.
  std::size_t relaysPerDomain_ = 2;
  //! Between heartbeats that the reader sends down the tree.
  common::Duration readerHeartbeatInterval_ = std::chrono::seconds(1);
  //! Between digests that each daemon sends to a random peer, for repair.
  common::Duration digestInterval_ = std::chrono::seconds(3);
  //! Time without a sign of life until a reader counts as failed.
  common::Duration readerTimeout_ = std::chrono::milliseconds(2'200);
  //! How long a read of the log waits for a new record.
  common::Duration longPollTimeout_ = std::chrono::seconds(2);
  common::Duration fetchTimeout_ = std::chrono::milliseconds(500);
  //! Before a new daemon reads the log, with a jitter of +-50 %.
  common::Duration firstReadDelay_ = std::chrono::milliseconds(800);
  //! Upper bound of the backoff after failed reads of the log.
  common::Duration maxRetryBackoff_ = std::chrono::seconds(1);
};

//! aProfile is "time" or "bytes"; aMode is "tree", "gossip" or "direct".
SpreadingSettings MakeSpreadingSettings(const std::string& aProfile, const std::string& aMode);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_SpreadingSettings_h
