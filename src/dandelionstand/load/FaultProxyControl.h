#ifndef dandelionstand_load_FaultProxyControl_h
#define dandelionstand_load_FaultProxyControl_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/load/Topology.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! Bytes that crossed the fault proxy, by the widest border that they crossed.
struct BorderBytes
{
  std::uint64_t betweenRegions_ = 0;
  std::uint64_t betweenDomains_ = 0; //!< Of one region.
  std::uint64_t insideDomains_ = 0;
};

//! Settings of the fault proxy that carries all connections between daemons and to the log.
std::string MakeProxySettings(const Topology& aTopology);

//! Sums up the proxy's counts; none if the text is malformed.
std::optional<BorderBytes> ParseBorderCounts(const std::string& aText, const TopologyShape& aShape);

//! Rules for the proxy that delay each border by its one-way time.
std::string MakeDelayRules(const TopologyShape& aShape,
                           common::Duration aBetweenDomains,
                           common::Duration aBetweenRegions);

} // namespace dandelionstand::load

#endif // dandelionstand_load_FaultProxyControl_h
