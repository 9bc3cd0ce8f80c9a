#include "dandelionstand/load/FaultProxyControl.h"

#include <nlohmann/json.hpp>

namespace dandelionstand::load {

namespace {

using nlohmann::json;

json MakeForward(const common::Address& aListen, const common::Address& aForward)
{
  return { { "listen", aListen.Get() }, { "forward", aForward.Get() } };
}

bool IsTrafficCount(const json& aEntry)
{
  return aEntry.is_object() && aEntry.contains("from") && aEntry.contains("to") &&
         aEntry.contains("bytes") && aEntry["from"].is_number_unsigned() &&
         aEntry["to"].is_number_unsigned() && aEntry["bytes"].is_number_unsigned();
}

bool IsSameRegion(const TopologyShape& aShape, std::uint32_t aFrom, std::uint32_t aTo)
{
  return RegionIndexOf(aShape, aFrom) == RegionIndexOf(aShape, aTo);
}

} // namespace

std::string MakeProxySettings(const Topology& aTopology)
{
  json forwards = json::array();
  forwards.push_back(MakeForward(aTopology.advertisedLogAddress_, aTopology.logAddress_));
  for (const InstancePlan& instance : aTopology.instances_) {
    forwards.push_back(MakeForward(instance.advertisedAddress_, instance.peerAddress_));
  }
  const json settings = { { "control", aTopology.proxyControlAddress_.Get() },
                          { "forwards", forwards } };
  return settings.dump() + "\n";
}

std::optional<ProxiedBytes> ParseProxyCounts(const std::string& aText, const TopologyShape& aShape)
{
  const json counts = json::parse(aText, nullptr, false);
  if (!counts.is_array()) {
    return std::nullopt;
  }
  ProxiedBytes bytes;
  for (const json& entry : counts) {
    if (!IsTrafficCount(entry)) {
      return std::nullopt;
    }
    const auto from = entry["from"].get<std::uint32_t>();
    const auto to = entry["to"].get<std::uint32_t>();
    const auto count = entry["bytes"].get<std::uint64_t>();
    if (from == to) {
      bytes.insideDomains_ += count;
    } else if (IsSameRegion(aShape, from, to)) {
      bytes.betweenDomains_ += count;
    } else {
      bytes.betweenRegions_ += count;
    }
  }
  return bytes;
}

std::string MakeDelayRules(const TopologyShape& aShape,
                           common::Duration aInterDomainDelay,
                           common::Duration aInterRegionDelay)
{
  json rules = json::array();
  for (std::uint32_t from = 0; from < aShape.failureDomains_; ++from) {
    for (std::uint32_t to = 0; to < aShape.failureDomains_; ++to) {
      const std::uint32_t fromByte = NetworkByteOf(from);
      const std::uint32_t toByte = NetworkByteOf(to);
      const auto delay =
        IsSameRegion(aShape, fromByte, toByte) ? aInterDomainDelay : aInterRegionDelay;
      if (from != to) {
        rules.push_back({ { "from", fromByte }, { "to", toByte }, { "delay_us", delay.count() } });
      }
    }
  }
  return rules.dump();
}

} // namespace dandelionstand::load
