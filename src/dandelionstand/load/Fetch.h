#ifndef dandelionstand_load_Fetch_h
#define dandelionstand_load_Fetch_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Sends GET requests for aPath to all addresses concurrently and runs the loop until all are
//! answered or timed out. Returns the bodies in the order of the addresses; std::nullopt for a
//! request that failed or whose status is not 200.
std::vector<std::optional<std::string>> FetchAll(common::EventLoop& aLoop,
                                                 const std::vector<common::Address>& aAddresses,
                                                 const std::string& aPath,
                                                 common::Duration aTimeout);

//! Sends a POST request and runs the loop until it is answered or timed out. Returns whether the
//! status is 200.
bool Post(common::EventLoop& aLoop,
          const common::Address& aAddress,
          const std::string& aPath,
          const std::string& aBody,
          common::Duration aTimeout);

//! Runs the loop for aDuration, then stops it.
void RunFor(common::EventLoop& aLoop, common::Duration aDuration);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Fetch_h
