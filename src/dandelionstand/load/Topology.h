#ifndef dandelionstand_load_Topology_h
#define dandelionstand_load_Topology_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! What a fleet on the loopback interface looks like.
struct TopologyShape
{
  std::string user_ = "zafukreis"; //!< Whose regions and services; "blue-mahoe" is the other.
  std::uint32_t regions_ = 3;
  std::uint32_t failureDomains_ = 6; //!< Over all regions.
  std::uint32_t daemons_ = 18;       //!< Over all failure domains.
  std::uint32_t services_ = 3;       //!< More than the user's own get generated names.
  std::uint32_t seeds_ = 3;          //!< Seeds in the settings of each daemon.
  std::uint8_t runNumber_ = 1;       //!< Third byte of the addresses; tells runs apart.
  std::string spreading_ = "tree";
  std::string profile_ = "time";
  common::Duration idleCloseTimeout_{}; //!< Of links between daemons; 0 keeps the daemon's default.
  bool isProxied_ = false; //!< Daemons reach each other and the log through the fault proxy.
};

//! One instance: a daemon and the target beside it.
struct InstancePlan
{
  common::InstanceId instance_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  common::ServiceName service_;
  std::string ip_;
  common::Address callers_;
  common::Address admin_;
  common::Address peers_;     //!< Where the daemon listens for other daemons.
  common::Address advertise_; //!< What other daemons connect to; the proxy if there is one.
  common::Address target_;
};

struct Topology
{
  TopologyShape shape_;
  std::vector<InstancePlan> instances_;
  common::Address log_;     //!< Where the log listens.
  common::Address logPath_; //!< Where daemons reach it; the proxy if there is one.
  common::Address proxyControl_;
};

//! Second byte of the addresses of a failure domain.
std::uint32_t NetworkOf(std::uint32_t aFailureDomain);

//! Number of the region in which the failure domain with that second byte lies.
std::uint32_t RegionNumberOf(const TopologyShape& aShape, std::uint32_t aNetwork);

//! Lays out the instances, spread evenly over the failure domains. Each failure domain has a
//! network 127.<10 + domain>.<run>.0/24 of its own and each instance an IP number of its own.
//! Throws std::invalid_argument if the shape cannot be laid out.
Topology MakeTopology(const TopologyShape& aShape);

//! The daemon's settings as JSON.
std::string MakeDaemonSettings(const Topology& aTopology, const InstancePlan& aInstance);

//! Names of all services of a shape, the user's own first.
std::vector<std::string> ServicesOf(const TopologyShape& aShape);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Topology_h
