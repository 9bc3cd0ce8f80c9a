#ifndef dandelionstand_daemon_Settings_h
#define dandelionstand_daemon_Settings_h

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/PlatformBounds.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::daemon {

//! Where callers reach this daemon, and how much it takes from them.
struct CallersSettings
{
  common::Address listen_;
  std::uint64_t maxBodyBytes_ = 0;
  std::uint64_t maxHeaderBytes_ = 0;
  std::uint64_t bodyMemoryBytes_ = 0; //!< Bound for all request bodies together.
};

//! Links to other daemons.
struct PeersSettings
{
  common::Address listen_;
  common::Address advertise_; //!< What other daemons connect to.
  std::string sourceAddress_; //!< Local IP of outgoing connections; may be empty.
  std::vector<common::Address> seeds_;
  common::Duration heartbeat_{};
  std::uint32_t silentIntervals_ = 0;
  common::Duration idleClose_{};
};

//! The platform's log.
struct LogSettings
{
  common::Address address_;
  common::Duration timeout_{};
};

//! How the daemon meets the users' platform instead of the product's own interfaces.
struct PlatformSettings
{
  common::ServiceName service_;     //!< Of the endpoint beside the daemon.
  common::Address controlListen_;   //!< For what the endpoint says of itself.
  common::Address readinessListen_; //!< Where the platform asks whether clients may come.
  //! Addresses on a few other machines, which may be out of date; see PeersAt.
  std::vector<common::Address> seeds_;
  platform::PlatformBounds bounds_;
};

//! Everything that a daemon reads at its start.
struct Settings
{
  common::InstanceId instance_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  CallersSettings callers_;
  common::Address adminListen_;
  PeersSettings peers_;
  LogSettings log_;
  std::string spreading_; //!< "tree", "direct" or "gossip".
  std::string profile_;   //!< "time" or "bytes".
  common::Duration drainLimit_{};
  common::Severity logLevel_ = common::Severity::kInfo;
  std::optional<PlatformSettings> platform_;
};

//! Parses settings; with findings the result must not be used.
Settings ParseSettings(const std::string& aText,
                       const std::string& aSource,
                       common::Findings& aFindings);

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_Settings_h
