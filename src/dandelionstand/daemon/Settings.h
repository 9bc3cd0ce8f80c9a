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

//! Listening address for callers, and limits of their requests.
struct CallersSettings
{
  common::Address listen_;
  std::uint64_t maxBodyBytes_ = 0;
  std::uint64_t maxHeaderBytes_ = 0;
  std::uint64_t bodyMemoryBytes_ = 0; //!< Limit of all request bodies together.
};

//! Links to other daemons.
struct PeersSettings
{
  common::Address listen_;
  common::Address advertise_; //!< Address that other daemons connect to.
  //! Source IP of outgoing connections; if empty, the system selects it.
  std::string sourceAddress_;
  std::vector<common::Address> seeds_;
  common::Duration heartbeat_{}; //!< Interval of the heartbeats on each link.
  //! A link is replaced if a heartbeat is unanswered for this many heartbeat intervals.
  std::uint32_t silentIntervals_ = 0;
  common::Duration idleClose_{}; //!< Idle time after which a link is closed.
};

//! Access to the platform's log.
struct LogSettings
{
  common::Address address_;
  common::Duration timeout_{};
};

//! Integration with the users' platform; replaces the native interfaces.
struct PlatformSettings
{
  common::ServiceName service_;     //!< Service of the local endpoint.
  common::Address controlListen_;   //!< Receives the announcements of the local endpoint.
  common::Address readinessListen_; //!< Answers the platform's readiness checks.
  //! Addresses on a few other instances, which may be out of date; see ToPeerAddresses.
  std::vector<common::Address> seeds_;
  platform::PlatformBounds bounds_;
};

//! All settings of a daemon.
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
  //! Bandwidth of the instance's link in Mbit/s; nullopt if it is unlimited.
  std::optional<double> linkMegabitsPerSecond_;
  //! Processor time of the instance, in cores; nullopt if unknown.
  std::optional<double> cpuShare_;
  common::Duration drainLimit_{};
  common::Severity logLevel_ = common::Severity::kInfo;
  std::optional<PlatformSettings> platform_;
};

//! Parses settings; the result may be used only if there are no findings.
Settings ParseSettings(const std::string& aText,
                       const std::string& aSource,
                       common::Findings& aFindings);

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_Settings_h
