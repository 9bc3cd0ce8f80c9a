#ifndef dandelionstand_quota_OwnerTable_h
#define dandelionstand_quota_OwnerTable_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace dandelionstand::quota {

//! Which daemon grants for which organisations, as of one generation of the group.
class OwnerTable
{
public:
  using Owners = std::map<std::uint32_t, common::Address>; //!< By partition.

  //! Replaces the table. Ignores one of an older generation or without owners; false if so.
  bool Apply(std::uint64_t aGeneration, Owners aOwners);

  std::uint64_t Generation() const { return generation_; }
  const Owners& All() const { return owners_; }
  //! The partition of an organisation; nullopt while no owners are known. Daemons that know the
  //! same partitions agree on it.
  std::optional<std::uint32_t> PartitionOf(const common::OrganisationName& aOrganisation) const;
  //! Null if no daemon grants for the organisation.
  const common::Address* OwnerOf(const common::OrganisationName& aOrganisation) const;

private:
  std::uint64_t generation_ = 0;
  Owners owners_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_OwnerTable_h
