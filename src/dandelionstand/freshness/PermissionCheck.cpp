#include "dandelionstand/freshness/PermissionCheck.h"

#include "dandelionstand/freshness/FreshnessSource.h"
#include "dandelionstand/organisations/OrganisationTable.h"

namespace dandelionstand::freshness {

std::string_view CheckPermission(const Permission& aPermission,
                                 const FreshnessSource& aFreshness,
                                 const config::ConfigState* aConfig)
{
  if (aPermission.keyDigest_.empty()) {
    return {};
  }
  if (aConfig == nullptr || !aFreshness.IsFresh()) {
    return kPermissionUnconfirmed;
  }
  if (aPermission.version_ > aConfig->version_) {
    return {};
  }
  const auto digest = organisations::KeyDigest::FromBytes(aPermission.keyDigest_);
  const organisations::Organisation* holder =
    digest && aConfig->organisations_ ? aConfig->organisations_->FindByKey(*digest) : nullptr;
  const bool isHeld = holder != nullptr && holder->name_.Get() == aPermission.organisation_;
  return isHeld ? std::string_view() : kKeyWithdrawn;
}

} // namespace dandelionstand::freshness
