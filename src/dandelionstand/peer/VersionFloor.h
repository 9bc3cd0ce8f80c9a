#ifndef dandelionstand_peer_VersionFloor_h
#define dandelionstand_peer_VersionFloor_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <optional>

namespace dandelionstand::peer {

//! Why a daemon may or may not serve callers.
enum class ServeReason
{
  kAtLogTail,     //!< Reached the tail that the log had after this daemon's start.
  kAtPeers,       //!< The log is out of reach; reached the floor and all peers that serve.
  kBehindLogTail, //!< Has not yet reached the log's tail.
  kBehindPeers,   //!< Has not yet reached the floor or a peer that serves.
  kNoLogNorPeers, //!< Neither the log nor a peer that serves has answered.
};

const char* ToText(ServeReason aReason);

//! Keeps a restarted daemon from serving an older configuration than it once had in force.
//! Offsets stand for versions: a daemon that has processed a higher offset has no older version.
class VersionFloor
{
public:
  struct Decision
  {
    bool mayServe_ = false;
    ServeReason reason_ = ServeReason::kNoLogNorPeers;
  };

  explicit VersionFloor(common::TimePoint aStart);

  //! This daemon's own read of the log found that last offset.
  void OnLogTail(common::Offset aTail);
  //! A peer found that last offset at aSeenAt.
  void OnPeerLogTail(common::Offset aTail, common::TimePoint aSeenAt);
  //! A peer that serves is at aPosition and remembers that this instance reached aFloor.
  void OnServingPeer(common::Offset aPosition, common::Offset aFloor);
  //! A peer that does not serve yet may still remember the floor.
  void OnPeerFloor(common::Offset aFloor);

  //! Once true it stays true, since the position only grows.
  Decision Decide(common::Offset aPosition, common::TimePoint aNow);

  bool IsGranted() const { return granted_.has_value(); }

private:
  Decision DecideNow(common::Offset aPosition, common::TimePoint aNow) const;

  common::TimePoint start_;
  std::optional<common::Offset> tail_; //!< The first one that was seen after the start.
  std::optional<common::Offset> peers_;
  common::Offset floor_;
  std::optional<Decision> granted_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_VersionFloor_h
