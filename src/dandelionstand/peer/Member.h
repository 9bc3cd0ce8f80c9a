#ifndef dandelionstand_peer_Member_h
#define dandelionstand_peer_Member_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::peer::wire {
class Member;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Ordered by severity: of two claims of one revision the more severe one wins.
enum class MemberStatus
{
  kAlive,
  kLeaving, //!< Its target takes no new work; the daemon still runs.
  kSuspect, //!< Did not answer probes; may still refute.
  kDead,
};

//! One daemon of the mesh as another one knows it.
struct Member
{
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address address_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  MemberStatus status_ = MemberStatus::kAlive;
  common::ServiceName service_;   //!< Empty while the target beside the daemon is not ready.
  std::uint64_t revision_ = 0;    //!< Grows with each change the member announces itself.
  common::Version configVersion_; //!< Last version heard from the member directly.

  bool operator==(const Member&) const = default;

  bool IsLive() const { return status_ != MemberStatus::kDead; }
};

using Members = std::vector<Member>;

//! True if aNews about an instance replaces aKnown: by incarnation, then revision, then severity.
bool Supersedes(const Member& aNews, const Member& aKnown);

Member ParseMember(const wire::Member& aWire);
void WriteMember(const Member& aMember, wire::Member& aWire);

const char* ToText(MemberStatus aStatus);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Member_h
