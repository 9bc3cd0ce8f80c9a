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
                                   std::map<std::string, unsigned> aNumbers)
  : control_(std::move(aProxyControl))
  , numbers_(std::move(aNumbers))
{
}

void FaultProxyClient::Cut(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kCut);
}

void FaultProxyClient::CutGroups(const std::vector<std::string>& aOnes,
                                 const std::vector<std::string>& aOthers) const
{
  json rules = json::array();
  for (const std::string& one : aOnes) {
    for (const std::string& other : aOthers) {
      AddBothWays(rules, one, other, kCut);
    }
  }
  Send(rules);
}

void FaultProxyClient::CutDomain(const std::string& aDomain) const
{
  SetAround(aDomain, kCut);
}

void FaultProxyClient::DropOneWay(const std::string& aFrom, const std::string& aTo) const
{
  Send(json::array({ Rule(aFrom, aTo, kDrop) }));
}

void FaultProxyClient::Drop(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kDrop);
}

void FaultProxyClient::Freeze(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kFreeze);
}

void FaultProxyClient::FreezeAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : numbers_) {
    for (const auto& [to, toNumber] : numbers_) {
      rules.push_back(Rule(from, to, kFreeze));
    }
  }
  Send(rules);
}

void FaultProxyClient::SetDelay(const std::string& aOne,
                                const std::string& aOther,
                                std::chrono::microseconds aOneWay) const
{
  SetBothWays(aOne, aOther, { { "delay_us", aOneWay.count() } });
}

void FaultProxyClient::SetBandwidth(const std::string& aOne,
                                    const std::string& aOther,
                                    std::uint64_t aBytesPerSecond) const
{
  SetBothWays(aOne, aOther, { { "bytes_per_second", aBytesPerSecond } });
}

void FaultProxyClient::Heal(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kHealed);
}

void FaultProxyClient::HealDomain(const std::string& aDomain) const
{
  SetAround(aDomain, kHealed);
}

void FaultProxyClient::HealAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : numbers_) {
    for (const auto& [to, toNumber] : numbers_) {
      rules.push_back(Rule(from, to, kHealed));
    }
  }
  Send(rules);
}

LinkTraffic FaultProxyClient::TrafficBetween(const std::string& aFrom, const std::string& aTo) const
{
  return CountBetween({ aFrom }, { aTo });
}

LinkTraffic FaultProxyClient::CountBetween(const std::vector<std::string>& aFrom,
                                           const std::vector<std::string>& aTo) const
{
  LinkTraffic sum;
  const json counts = GetJson(control_, "/counts");
  for (const std::string& from : aFrom) {
    for (const std::string& to : aTo) {
      for (const json& count : counts) {
        if (count["from"] == numbers_.at(from) && count["to"] == numbers_.at(to)) {
          sum.bytes_ += count["bytes"].get<std::uint64_t>();
          sum.connections_ += count["connections"].get<std::uint64_t>();
        }
      }
    }
  }
  return sum;
}

json FaultProxyClient::Rule(const std::string& aFrom,
                            const std::string& aTo,
                            const json& aChange) const
{
  json rule = aChange;
  rule["from"] = numbers_.at(aFrom);
  rule["to"] = numbers_.at(aTo);
  return rule;
}

void FaultProxyClient::AddBothWays(json& aRules,
                                   const std::string& aOne,
                                   const std::string& aOther,
                                   const json& aChange) const
{
  aRules.push_back(Rule(aOne, aOther, aChange));
  aRules.push_back(Rule(aOther, aOne, aChange));
}

void FaultProxyClient::SetBothWays(const std::string& aOne,
                                   const std::string& aOther,
                                   const json& aChange) const
{
  json rules = json::array();
  AddBothWays(rules, aOne, aOther, aChange);
  Send(rules);
}

void FaultProxyClient::SetAround(const std::string& aDomain, const json& aChange) const
{
  json rules = json::array();
  for (const auto& [other, number] : numbers_) {
    if (other != aDomain) {
      AddBothWays(rules, aDomain, other, aChange);
    }
  }
  Send(rules);
}

void FaultProxyClient::Send(const json& aRules) const
{
  PostJson(control_, "/control", aRules);
}

} // namespace dandelionstand::tests
