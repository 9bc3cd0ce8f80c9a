#ifndef dandelionstand_load_FaultProxyControl_h
#define dandelionstand_load_FaultProxyControl_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/load/Topology.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! Bytes that the fault proxy has forwarded, by the locality of sender and receiver.
struct ProxiedBytes
{
  std::uint64_t betweenRegions_ = 0;
  std::uint64_t betweenDomains_ = 0; //!< Different domains of the same region.
  std::uint64_t insideDomains_ = 0;
};

//! Settings of a fault proxy that forwards all connections between daemons and to the log, as JSON.
std::string MakeProxySettings(const Topology& aTopology);

//! Sums the byte counts that the proxy reports as JSON; none if the text is malformed.
std::optional<ProxiedBytes> ParseProxyCounts(const std::string& aText, const TopologyShape& aShape);

//! Rules as JSON that make the proxy add a one-way delay between failure domains; the delay depends
//! on whether both are in the same region.
std::string MakeDelayRules(const TopologyShape& aShape,
                           common::Duration aInterDomainDelay,
                           common::Duration aInterRegionDelay);

} // namespace dandelionstand::load

#endif // dandelionstand_load_FaultProxyControl_h
