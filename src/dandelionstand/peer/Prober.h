#ifndef dandelionstand_peer_Prober_h
#define dandelionstand_peer_Prober_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace dandelionstand::peer {

struct ProberSettings
{
  common::Duration probeInterval_ = std::chrono::seconds(1);
  //! If no ACK has arrived by then, indirect probes are requested from other members.
  common::Duration directTimeout_ = std::chrono::milliseconds(300);
  //! After this time a suspect is declared dead.
  common::Duration suspicionTimeout_ = std::chrono::seconds(2);
  //! Number of members from which an indirect probe is requested.
  std::size_t indirectProbeCount_ = 3;
};

//! Actions for the owner of the Prober to perform.
struct SendPing
{
  common::Address destination_;
  std::uint64_t sequence_;
};
struct SendPingRequest
{
  common::Address destination_;
  common::Address subject_; //!< Member to probe.
  std::uint64_t sequence_;
};
struct ForwardAck
{
  common::Address destination_;
  std::uint64_t sequence_;
};
struct MarkSuspect
{
  common::InstanceId instance_;
};
struct DeclareDead
{
  common::InstanceId instance_;
};
using ProbeAction = std::variant<SendPing, SendPingRequest, ForwardAck, MarkSuspect, DeclareDead>;
using ProbeActions = std::vector<ProbeAction>;

//! Failure detector for one failure domain, as in SWIM: probes one member per interval, directly
//! and then through other members, and reports those that do not answer as suspect and later as
//! dead.
class Prober
{
public:
  Prober(ProberSettings aSettings, common::TimePoint aNow);

  //! aOthers are the live members of the failure domain except this one.
  ProbeActions Tick(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  //! Probes aSubject on behalf of aRequester, which uses aSequence for the probe.
  ProbeActions OnPingRequest(const common::Address& aRequester,
                             std::uint64_t aSequence,
                             const common::Address& aSubject);
  ProbeActions OnAck(std::uint64_t aSequence);

private:
  struct OutstandingProbe
  {
    Member member_;
    std::uint64_t sequence_;
    common::TimePoint sentAt_;
    bool isIndirect_ = false;
  };
  struct Requester
  {
    common::Address address_;
    std::uint64_t sequence_;
  };

  //! Drops the outstanding probe and restarts the suspicion timeouts if this process was paused,
  //! because the others may have answered meanwhile.
  void ResetAfterPause(common::TimePoint aNow);
  void ProbeIndirectly(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  void ProbeNext(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  void DeclareExpiredSuspects(const Members& aOthers, common::TimePoint aNow);

  ProberSettings settings_;
  common::TimePoint lastTick_;
  common::TimePoint nextProbe_;
  std::uint64_t sequence_ = 0;
  std::optional<OutstandingProbe> outstandingProbe_;
  std::vector<common::InstanceId> probeQueue_; //!< Members not yet probed in this round.
  std::map<common::InstanceId, common::TimePoint> suspectSince_;
  std::map<std::uint64_t, Requester> requesters_; //!< By the sequence of the ping sent for them.
  ProbeActions actions_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Prober_h
