#include "dandelionstand/quota/OwnerTable.h"

#include <xxhash.h>

#include <utility>

namespace dandelionstand::quota {

bool OwnerTable::Apply(std::uint64_t aGeneration, Owners aOwners)
{
  if (aGeneration < generation_ || aOwners.empty()) {
    return false;
  }
  generation_ = aGeneration;
  owners_ = std::move(aOwners);
  return true;
}

std::optional<std::uint32_t> OwnerTable::PartitionOf(
  const common::OrganisationName& aOrganisation) const
{
  if (owners_.empty()) {
    return std::nullopt;
  }
  const std::string& name = aOrganisation.Get();
  return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % owners_.size());
}

const common::Address* OwnerTable::OwnerOf(const common::OrganisationName& aOrganisation) const
{
  const auto partition = PartitionOf(aOrganisation);
  const auto owner = partition ? owners_.find(*partition) : owners_.end();
  return owner == owners_.end() || owner->second.Get().empty() ? nullptr : &owner->second;
}

} // namespace dandelionstand::quota
