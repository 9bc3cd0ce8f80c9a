#include "tests/support/Borders.h"

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

Borders::Borders(common::Address aProxyControl, std::map<std::string, unsigned> aNumbers)
  : control_(std::move(aProxyControl))
  , numbers_(std::move(aNumbers))
{
}

void Borders::Cut(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kCut);
}

void Borders::CutGroups(const std::vector<std::string>& aOnes,
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

void Borders::CutDomain(const std::string& aDomain) const
{
  SetAround(aDomain, kCut);
}

void Borders::DropOneWay(const std::string& aFrom, const std::string& aTo) const
{
  Send(json::array({ Rule(aFrom, aTo, kDrop) }));
}

void Borders::Drop(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kDrop);
}

void Borders::Freeze(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kFreeze);
}

void Borders::FreezeAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : numbers_) {
    for (const auto& [to, toNumber] : numbers_) {
      rules.push_back(Rule(from, to, kFreeze));
    }
  }
  Send(rules);
}

void Borders::SetDelay(const std::string& aOne,
                       const std::string& aOther,
                       std::chrono::microseconds aOneWay) const
{
  SetBothWays(aOne, aOther, { { "delay_us", aOneWay.count() } });
}

void Borders::SetBandwidth(const std::string& aOne,
                           const std::string& aOther,
                           std::uint64_t aBytesPerSecond) const
{
  SetBothWays(aOne, aOther, { { "bytes_per_second", aBytesPerSecond } });
}

void Borders::Heal(const std::string& aOne, const std::string& aOther) const
{
  SetBothWays(aOne, aOther, kHealed);
}

void Borders::HealDomain(const std::string& aDomain) const
{
  SetAround(aDomain, kHealed);
}

void Borders::HealAll() const
{
  json rules = json::array();
  for (const auto& [from, fromNumber] : numbers_) {
    for (const auto& [to, toNumber] : numbers_) {
      rules.push_back(Rule(from, to, kHealed));
    }
  }
  Send(rules);
}

BorderCount Borders::Count(const std::string& aFrom, const std::string& aTo) const
{
  return CountBetween({ aFrom }, { aTo });
}

BorderCount Borders::CountBetween(const std::vector<std::string>& aFrom,
                                  const std::vector<std::string>& aTo) const
{
  BorderCount sum;
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

json Borders::Rule(const std::string& aFrom, const std::string& aTo, const json& aChange) const
{
  json rule = aChange;
  rule["from"] = numbers_.at(aFrom);
  rule["to"] = numbers_.at(aTo);
  return rule;
}

void Borders::AddBothWays(json& aRules,
                          const std::string& aOne,
                          const std::string& aOther,
                          const json& aChange) const
{
  aRules.push_back(Rule(aOne, aOther, aChange));
  aRules.push_back(Rule(aOther, aOne, aChange));
}

void Borders::SetBothWays(const std::string& aOne,
                          const std::string& aOther,
                          const json& aChange) const
{
  json rules = json::array();
  AddBothWays(rules, aOne, aOther, aChange);
  Send(rules);
}

void Borders::SetAround(const std::string& aDomain, const json& aChange) const
{
  json rules = json::array();
  for (const auto& [other, number] : numbers_) {
    if (other != aDomain) {
      AddBothWays(rules, aDomain, other, aChange);
    }
  }
  Send(rules);
}

void Borders::Send(const json& aRules) const
{
  PostJson(control_, "/control", aRules);
}

} // namespace dandelionstand::tests
