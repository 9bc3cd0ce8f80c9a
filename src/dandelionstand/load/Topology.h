#ifndef dandelionstand_load_Topology_h
#define dandelionstand_load_Topology_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Parameters of a fleet on the loopback interface.
struct TopologyShape
{
  //! Organisation whose region and service names are used: "zafukreis" or "blue-mahoe".
  std::string user_ = "zafukreis";
  std::uint32_t regions_ = 3;
  std::uint32_t failureDomains_ = 6; //!< In all regions together.
  std::uint32_t daemons_ = 18;       //!< In all failure domains together.
  std::uint32_t services_ = 3;       //!< Services beyond those of the user get generated names.
  std::uint32_t seeds_ = 3;          //!< Number of seeds in the settings of each daemon.
  std::uint8_t runNumber_ = 1; //!< Third byte of the IP addresses; keeps concurrent runs separate.
  std::string spreading_ = "tree";
  std::string profile_ = "time";
  common::Duration idleCloseTimeout_{}; //!< Of links between daemons; 0 for the daemon's default.
  bool isProxied_ = false; //!< Daemons connect to each other and the log through the fault proxy.
};

//! Names and addresses of one instance, that is, a daemon and its target.
struct InstancePlan
{
  common::InstanceId instance_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  common::ServiceName service_;
  std::string ip_;
  common::Address callerAddress_;
  common::Address adminAddress_;
  common::Address peerAddress_; //!< Listen address for other daemons.
  //! Address that other daemons connect to; the proxy's if there is one.
  common::Address advertisedAddress_;
  common::Address targetAddress_;
};

struct Topology
{
  TopologyShape shape_;
  std::vector<InstancePlan> instances_;
  common::Address logAddress_; //!< Listen address of the log.
  //! Address at which daemons connect to the log; the proxy's if there is one.
  common::Address advertisedLogAddress_;
  common::Address proxyControlAddress_;
};

//! Second byte of the IP addresses of a failure domain.
std::uint32_t NetworkByteOf(std::uint32_t aFailureDomain);

//! Index of the region that contains the failure domain with that second byte.
std::uint32_t RegionIndexOf(const TopologyShape& aShape, std::uint32_t aNetworkByte);

//! Distributes the instances evenly over the failure domains. Each failure domain has its own
//! network 127.<10 + domain>.<run>.0/24 and each instance its own IP address. Throws
//! std::invalid_argument if a number of the shape is out of range or the user is unknown.
Topology MakeTopology(const TopologyShape& aShape);

//! The daemon's settings as JSON.
std::string MakeDaemonSettings(const Topology& aTopology, const InstancePlan& aInstance);

//! Names of all services of a shape; those of the user come first, then the generated ones.
std::vector<std::string> ServicesOf(const TopologyShape& aShape);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Topology_h
