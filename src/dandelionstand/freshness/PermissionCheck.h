#ifndef dandelionstand_freshness_PermissionCheck_h
#define dandelionstand_freshness_PermissionCheck_h

#include "dandelionstand/config/ConfigState.h"

#include <string>
#include <string_view>

namespace dandelionstand::freshness {

class FreshnessSource;

inline constexpr std::string_view kPermissionUnconfirmed = "permission-unconfirmed";
inline constexpr std::string_view kKeyWithdrawn = "key-withdrawn";

//! The permission with which a call was accepted.
struct Permission
{
  common::Version version_; //!< Of the configuration that granted it.
  std::string organisation_;
  std::string keyDigest_; //!< Empty for a call that needs none.
};

//! Checks a permission right before its call goes on: returns the reason to refuse it, empty if it
//! still holds.
//!
//! The daemon beside the target checks it again, because either daemon may have been paused since
//! the call was accepted. If that daemon has an older version than the call, its own proof
//! suffices: a version that revokes the key was then written after the read of the proof had begun.
std::string_view CheckPermission(const Permission& aPermission,
                                 const FreshnessSource& aFreshness,
                                 const config::ConfigState* aConfig);

} // namespace dandelionstand::freshness

#endif // dandelionstand_freshness_PermissionCheck_h
