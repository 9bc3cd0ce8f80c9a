#include "tests/support/FaultProxyClient.h"

#include "tests/support/Net.h"

#include <utility>

namespace dandelionstand::tests {

namespace {

using nlohmann::json;

const json kCut = { { "cut", true } };
const json kDrop = { { "drop", true } };
const json kFreeze = { { "freeze", true } };
const json kHealed = { { "cut", false }, { "drop", false } };

} // namespace

FaultProxyClient::FaultProxyClient(common::Address aProxyControl,
                                   std::map<std::string, unsigned> aDomainNumbers)
  : control_(std::move(aProxyControl))
  , domainNumbers_(std::move(aDomainNumbers))
{
}

void FaultProxyClient::Cut(const std::string& aFirst, const std::string& aSecond) const
{
  SetBothDirections(aFirst, aSecond, kCut);
}

void FaultProxyClient::CutGroups(const std::vector<std::string>& aFirstGroup,
                                 const std::vector<std::string>& aSecondGroup) const
{
  json rules = json::array();
  for (const std::string& first : aFirstGroup) {
    for (const std::string& second : aSecondGroup) {
      AddBothDirections(rules, first, second, kCut);
    }
  }
  Send(rules);
}

void FaultProxyClient::CutDomain(const std::string& aDomain) const
{
  SetAroundDomain(aDomain, kCut);
}

void FaultProxyClient::DropOneWay(const std::string& aFrom, const std::string& aTo) const
{
  Send(json::array({ Rule(aFrom, aTo, kDrop) }));
}

void FaultProxyClient::Drop(const std::string& aFirst, const std::string& aSecond) const
{
  SetBothDirections(aFirst, aSecond, kDrop);
}

void FaultProxyClient::Freeze(const std::string& aFirst, const std::string& aSecond) const
{
  SetBothDirections(aFirst, aSecond, kFreeze);
}

void FaultProxyClient::FreezeAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : domainNumbers_) {
    for (const auto& [to, toNumber] : domainNumbers_) {
      rules.push_back(Rule(from, to, kFreeze));
    }
  }
  Send(rules);
}

void FaultProxyClient::SetDelay(const std::string& aFirst,
                                const std::string& aSecond,
                                std::chrono::microseconds aOneWayDelay) const
{
  SetBothDirections(aFirst, aSecond, { { "delay_us", aOneWayDelay.count() } });
}

void FaultProxyClient::SetBandwidth(const std::string& aFirst,
                                    const std::string& aSecond,
                                    std::uint64_t aBytesPerSecond) const
{
  SetBothDirections(aFirst, aSecond, { { "bytes_per_second", aBytesPerSecond } });
}

void FaultProxyClient::Heal(const std::string& aFirst, const std::string& aSecond) const
{
  SetBothDirections(aFirst, aSecond, kHealed);
}

void FaultProxyClient::HealDomain(const std::string& aDomain) const
{
  SetAroundDomain(aDomain, kHealed);
}

void FaultProxyClient::HealAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : domainNumbers_) {
    for (const auto& [to, toNumber] : domainNumbers_) {
      rules.push_back(Rule(from, to, kHealed));
    }
  }
  Send(rules);
}

LinkTraffic FaultProxyClient::TrafficBetween(const std::string& aFrom, const std::string& aTo) const
{
  return TrafficBetweenGroups({ aFrom }, { aTo });
}

LinkTraffic FaultProxyClient::TrafficBetweenGroups(const std::vector<std::string>& aFrom,
                                                   const std::vector<std::string>& aTo) const
{
  LinkTraffic total;
  const json counts = GetJson(control_, "/counts");
  for (const std::string& from : aFrom) {
    for (const std::string& to : aTo) {
      for (const json& count : counts) {
        if (count["from"] == domainNumbers_.at(from) && count["to"] == domainNumbers_.at(to)) {
          total.bytes_ += count["bytes"].get<std::uint64_t>();
          total.connections_ += count["connections"].get<std::uint64_t>();
        }
      }
    }
  }
  return total;
}

json FaultProxyClient::Rule(const std::string& aFrom,
                            const std::string& aTo,
                            const json& aFields) const
{
  json rule = aFields;
  rule["from"] = domainNumbers_.at(aFrom);
  rule["to"] = domainNumbers_.at(aTo);
  return rule;
}

void FaultProxyClient::AddBothDirections(json& aRules,
                                         const std::string& aFirst,
                                         const std::string& aSecond,
                                         const json& aFields) const
{
  aRules.push_back(Rule(aFirst, aSecond, aFields));
  aRules.push_back(Rule(aSecond, aFirst, aFields));
}

void FaultProxyClient::SetBothDirections(const std::string& aFirst,
                                         const std::string& aSecond,
                                         const json& aFields) const
{
  json rules = json::array();
  AddBothDirections(rules, aFirst, aSecond, aFields);
  Send(rules);
}

void FaultProxyClient::SetAroundDomain(const std::string& aDomain, const json& aFields) const
{
  json rules = json::array();
  for (const auto& [other, number] : domainNumbers_) {
    if (other != aDomain) {
      AddBothDirections(rules, aDomain, other, aFields);
    }
  }
  Send(rules);
}

void FaultProxyClient::Send(const json& aRules) const
{
  PostJson(control_, "/control", aRules);
}

} // namespace dandelionstand::tests
