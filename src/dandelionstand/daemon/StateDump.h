#ifndef dandelionstand_daemon_StateDump_h
#define dandelionstand_daemon_StateDump_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Member.h"

#include <nlohmann/json.hpp>

namespace dandelionstand::daemon {

//! The active configuration for the admin dump; null if there is none. Keys of organisations appear
//! as the beginnings of their digests.
nlohmann::json DumpConfig(const config::ConfigStatePtr& aState);
nlohmann::json DumpMembers(const peer::Members& aMembers);

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_StateDump_h
