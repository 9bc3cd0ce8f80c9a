#ifndef dandelionstand_peer_VersionFloor_h
#define dandelionstand_peer_VersionFloor_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <optional>

namespace dandelionstand::peer {

//! Reason why a daemon may or may not serve callers.
enum class ServeReason
{
  kAtLogTail,     //!< Reached the tail that the log had after this daemon's start.
  kAtPeers,       //!< The log is unreachable; reached the floor and all serving peers.
  kBehindLogTail, //!< Has not yet reached the log's tail.
  kBehindPeers,   //!< Has not yet reached the floor or the position of a serving peer.
  kNoLogNorPeers, //!< Neither the log nor a serving peer has answered.
};

const char* ToText(ServeReason aReason);

//! Prevents a restarted daemon from serving callers with an older configuration than the one that
//! was active before the restart. Compares log offsets instead of versions: a daemon at a higher
//! offset never has an older version. The floor is the highest offset that any peer remembers of
//! this instance.
class VersionFloor
{
public:
  struct Decision
  {
    bool mayServe_ = false;
    ServeReason reason_ = ServeReason::kNoLogNorPeers;
  };

  explicit VersionFloor(common::TimePoint aStartedAt);

  //! This daemon read the log and found its last offset.
  void OnLogTail(common::Offset aTail);
  //! A peer read the log at aObservedAt and found its last offset.
  void OnPeerLogTail(common::Offset aTail, common::TimePoint aObservedAt);
  //! A serving peer is at aPosition and remembers that this instance had reached aFloor.
  void OnServingPeer(common::Offset aPosition, common::Offset aFloor);
  //! A peer, which need not serve yet, remembers that this instance had reached aFloor.
  void OnPeerFloor(common::Offset aFloor);

  //! Once the daemon may serve, the decision is final: the position never decreases.
  Decision Decide(common::Offset aPosition, common::TimePoint aNow);

  bool IsGranted() const { return grantedDecision_.has_value(); }

private:
  Decision Evaluate(common::Offset aPosition, common::TimePoint aNow) const;

  common::TimePoint startedAt_;
  std::optional<common::Offset> logTail_; //!< First one observed after the start.
  std::optional<common::Offset> highestServingPosition_;
  common::Offset rememberedFloor_;
  std::optional<Decision> grantedDecision_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_VersionFloor_h
