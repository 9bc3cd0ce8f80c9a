#ifndef dandelionstand_peer_MemberTable_h
#define dandelionstand_peer_MemberTable_h

#include "dandelionstand/peer/Member.h"

#include <cstdint>
#include <map>

namespace dandelionstand::peer {

//! What one daemon knows about all members. Merging is commutative and idempotent.
class MemberTable
{
public:
  //! Takes news that supersede what is known. False if nothing changed.
  bool Merge(const Member& aNews);
  //! Forgets a member altogether.
  void Remove(const common::InstanceId& aInstance);
  //! Notes the version a member has in force, as told by the member itself.
  void SetConfigVersion(const common::InstanceId& aInstance, common::Version aVersion);

  //! Null if the instance is unknown.
  const Member* Find(const common::InstanceId& aInstance) const;
  //! Every known member, dead ones included, by instance.
  Members All() const;
  Members LiveInDomain(const common::FailureDomain& aDomain) const;

  //! Order-independent hash over the live members of a domain; suspicion does not change it.
  std::uint64_t DomainHash(const common::FailureDomain& aDomain) const;

private:
  std::map<common::InstanceId, Member> members_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MemberTable_h
