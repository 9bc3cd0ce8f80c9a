#ifndef dandelionstand_peer_Member_h
#define dandelionstand_peer_Member_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/peer/TargetWithdrawal.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::peer::wire {
class Member;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Ordered by severity: of two states with the same incarnation and revision the more severe one
//! wins.
enum class MemberStatus
{
  kAlive,
  kLeaving, //!< The target accepts no new work; the daemon still runs.
  kSuspect, //!< Did not answer a probe; dead after a timeout unless it refutes.
  kDead,
};

//! State of one daemon of the mesh as known to another one.
struct Member
{
  common::InstanceId instance_;
  common::Incarnation incarnation_; //!< Differs for each run of the daemon.
  //! Orders the runs of the daemon. The incarnation, unless an earlier run has a greater one
  //! because the clock was set back since.
  std::uint64_t generation_ = 0;
  common::Address address_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  MemberStatus status_ = MemberStatus::kAlive;
  common::ServiceName service_;   //!< Empty while the daemon's target is not ready.
  std::uint64_t revision_ = 0;    //!< Increased by the member itself with each change.
  common::Version configVersion_; //!< Highest version that the member itself has sent.
  //! The bodies of large requests are sent when its daemon requests them.
  bool acceptsDeferredBodies_ = false;
  std::uint32_t cpuMilli_ = 0; //!< Thousandths of a core; 0 if unknown.
  bool hasStopped_ = false;    //!< It has announced its own stop; its status is kDead.
  //! The last withdrawal of its target; its number is 0 if there was none. Kept when the daemon
  //! restarts.
  TargetWithdrawal withdrawal_;

  bool operator==(const Member&) const = default;

  bool IsLive() const { return status_ != MemberStatus::kDead; }
};

using Members = std::vector<Member>;

//! Replaces the last withdrawal of aMember if aWithdrawal is later. False if nothing changed.
bool MergeWithdrawal(Member& aMember, const TargetWithdrawal& aWithdrawal);

//! True if aIncoming replaces aCurrent, a state of the same instance. Compared by generation,
//! then incarnation, revision and severity.
bool Supersedes(const Member& aIncoming, const Member& aCurrent);

Member ParseMember(const wire::Member& aWire);
void WriteMember(const Member& aMember, wire::Member& aWire);

const char* ToText(MemberStatus aStatus);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Member_h
