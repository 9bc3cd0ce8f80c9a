#ifndef dandelionstand_peer_MemberTable_h
#define dandelionstand_peer_MemberTable_h

#include "dandelionstand/peer/Member.h"

#include <cstdint>
#include <map>

namespace dandelionstand::peer {

//! Members known to one daemon. Merging is commutative and idempotent.
class MemberTable
{
public:
  //! Stores aIncoming if it supersedes the known state; the later withdrawal of the two is kept in
  //! any case. False if nothing changed.
  bool Merge(const Member& aIncoming);
  void Remove(const common::InstanceId& aInstance);
  //! Sets the active configuration version of a member, as sent by the member itself. Lower
  //! versions are ignored.
  void SetConfigVersion(const common::InstanceId& aInstance, common::Version aVersion);

  //! Null if the instance is unknown.
  const Member* Find(const common::InstanceId& aInstance) const;
  //! All known members including dead ones, in order of their instance names.
  Members All() const;
  Members LiveInDomain(const common::FailureDomain& aDomain) const;

  //! Order-independent hash over instance, incarnation and revision of the live members of a
  //! domain. The status is left out, so suspicion does not change the hash.
  std::uint64_t DomainHash(const common::FailureDomain& aDomain) const;

private:
  std::map<common::InstanceId, Member> members_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MemberTable_h
