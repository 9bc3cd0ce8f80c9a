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
  common::Duration interval_ = std::chrono::seconds(1);
  common::Duration directTimeout_ = std::chrono::milliseconds(300);
  common::Duration suspicion_ = std::chrono::seconds(2); //!< From suspect to dead.
  std::size_t indirectProbes_ = 3;
};

//! What a prober asks for.
struct SendPing
{
  common::Address destination_;
  std::uint64_t sequence_;
};
struct SendPingRequest
{
  common::Address destination_;
  common::Address subject_;
  std::uint64_t sequence_;
};
struct ForwardAck
{
  common::Address destination_;
  std::uint64_t sequence_;
};
struct Suspect
{
  common::InstanceId instance_;
};
struct DeclareDead
{
  common::InstanceId instance_;
};
using ProbeAction = std::variant<SendPing, SendPingRequest, ForwardAck, Suspect, DeclareDead>;
using ProbeActions = std::vector<ProbeAction>;

//! Decides which member of the failure domain is probed when, and which one does not answer.
class Prober
{
public:
  Prober(ProberSettings aSettings, common::TimePoint aNow);

  //! aOthers: the live members of the failure domain without this one.
  ProbeActions Tick(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  //! A probe on behalf of another member.
  ProbeActions OnPingRequest(const common::Address& aRequester,
                             std::uint64_t aSequence,
                             const common::Address& aSubject);
  ProbeActions OnAck(std::uint64_t aSequence);

private:
  struct Outstanding
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

  void DropAfterPause(common::TimePoint aNow);
  void ProbeIndirectly(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  void ProbeNext(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom);
  void CheckSuspects(const Members& aOthers, common::TimePoint aNow);

  ProberSettings settings_;
  common::TimePoint lastTick_;
  common::TimePoint nextProbe_;
  std::uint64_t sequence_ = 0;
  std::optional<Outstanding> outstanding_;
  std::vector<common::InstanceId> round_; //!< Members still to be probed in this round.
  std::map<common::InstanceId, common::TimePoint> suspectSince_;
  std::map<std::uint64_t, Requester> requesters_;
  ProbeActions actions_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Prober_h
