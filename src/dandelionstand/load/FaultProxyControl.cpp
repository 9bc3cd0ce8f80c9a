#include "dandelionstand/load/FaultProxyControl.h"

#include <nlohmann/json.hpp>

namespace dandelionstand::load {

namespace {

using nlohmann::json;

json MakeForward(const common::Address& aListen, const common::Address& aForward)
{
  return { { "listen", aListen.Get() }, { "forward", aForward.Get() } };
}

bool IsCount(const json& aEntry)
{
  return aEntry.is_object() && aEntry.contains("from") && aEntry.contains("to") &&
         aEntry.contains("bytes") && aEntry["from"].is_number_unsigned() &&
         aEntry["to"].is_number_unsigned() && aEntry["bytes"].is_number_unsigned();
}

bool IsSameRegion(const TopologyShape& aShape, std::uint32_t aFrom, std::uint32_t aTo)
{
  return RegionNumberOf(aShape, aFrom) == RegionNumberOf(aShape, aTo);
}

} // namespace

std::string MakeProxySettings(const Topology& aTopology)
{
  json forwards = json::array();
  forwards.push_back(MakeForward(aTopology.logPath_, aTopology.log_));
  for (const InstancePlan& instance : aTopology.instances_) {
    forwards.push_back(MakeForward(instance.advertise_, instance.peers_));
  }
  const json settings = { { "control", aTopology.proxyControl_.Get() }, { "forwards", forwards } };
  return settings.dump() + "\n";
}

std::optional<BorderBytes> ParseBorderCounts(const std::string& aText, const TopologyShape& aShape)
{
  const json counts = json::parse(aText, nullptr, false);
  if (!counts.is_array()) {
    return std::nullopt;
  }
  BorderBytes bytes;
  for (const json& entry : counts) {
    if (!IsCount(entry)) {
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
                           common::Duration aBetweenDomains,
                           common::Duration aBetweenRegions)
{
  json rules = json::array();
  for (std::uint32_t from = 0; from < aShape.failureDomains_; ++from) {
    for (std::uint32_t to = 0; to < aShape.failureDomains_; ++to) {
      const std::uint32_t fromByte = NetworkOf(from);
      const std::uint32_t toByte = NetworkOf(to);
      const auto delay = IsSameRegion(aShape, fromByte, toByte) ? aBetweenDomains : aBetweenRegions;
      if (from != to) {
        rules.push_back({ { "from", fromByte }, { "to", toByte }, { "delay_us", delay.count() } });
      }
    }
  }
  return rules.dump();
}

} // namespace dandelionstand::load
