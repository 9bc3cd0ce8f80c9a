#ifndef tests_config_ConfigFixtures_h
#define tests_config_ConfigFixtures_h

#include "dandelionstand/config/Acceptance.h"

#include <cstdint>
#include <string>

namespace dandelionstand::tests {

//! A state with limits "shop", endpoints "shop" and a route "browse".
config::ConfigState ShopState();
config::PublishRecord ShopRecord();
//! A route that refers to endpoints "nowhere", which do not exist.
config::Route DanglingRoute();
//! Records with a single change, based on aBase.
config::PublishRecord SlotsRecord(const config::ConfigState& aBase, std::uint32_t aSlots);
config::PublishRecord TimeoutRecord(const config::ConfigState& aBase, std::uint32_t aMilliseconds);
config::PublishRecord NewLimitsRecord(const config::ConfigState& aBase, const std::string& aName);
config::PublishRecord NewLimitsRecord(const config::ConfigState& aBase,
                                      const std::string& aName,
                                      std::uint64_t aBuiltOn);
//! Applies a record and returns the next state. Throws std::logic_error if it is not accepted.
config::ConfigStatePtr Publish(const config::ConfigState& aBase,
                               std::uint64_t aOffset,
                               const config::PublishRecord& aRecord);

} // namespace dandelionstand::tests

#endif // tests_config_ConfigFixtures_h
