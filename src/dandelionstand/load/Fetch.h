#ifndef dandelionstand_load_Fetch_h
#define dandelionstand_load_Fetch_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Asks every address for one path at the same time and runs the loop until all have answered or
//! aTimeout has passed. The bodies in the order of the addresses; none where the status is not 200.
std::vector<std::optional<std::string>> FetchAll(common::EventLoop& aLoop,
                                                 const std::vector<common::Address>& aAddresses,
                                                 const std::string& aPath,
                                                 common::Duration aTimeout);

//! Posts a body and runs the loop until the answer; whether its status is 200.
bool Post(common::EventLoop& aLoop,
          const common::Address& aAddress,
          const std::string& aPath,
          const std::string& aBody,
          common::Duration aTimeout);

//! Runs the loop for a time.
void RunFor(common::EventLoop& aLoop, common::Duration aTime);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Fetch_h
