#ifndef dandelionstand_tests_support_FaultProxyClient_h
#define dandelionstand_tests_support_FaultProxyClient_h

#include "dandelionstand/common/Ids.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! Name under which FaultProxyClient knows the place of the log service.
inline const std::string kPlatform = "platform";

//! Bytes and connections that crossed a border in one direction.
struct LinkTraffic
{
  std::uint64_t bytes_ = 0;
  std::uint64_t connections_ = 0; //!< Opened from the first domain to the second.
};

//! The faults between failure domains, set at standin-fault-proxy while it runs. Each name is a
//! failure domain or kPlatform; borders within one domain (the same name twice) exist too.
class FaultProxyClient
{
public:
  //! aNumbers gives the number of each failure domain: the second part of its IP numbers.
  FaultProxyClient(common::Address aProxyControl, std::map<std::string, unsigned> aNumbers);

  //! Resets the connections between the two and refuses new ones.
  void Cut(const std::string& aOne, const std::string& aOther) const;
  //! Cuts between each member of the one group and each of the other.
  void CutGroups(const std::vector<std::string>& aOnes,
                 const std::vector<std::string>& aOthers) const;
  //! Cuts a failure domain off from all others and from the platform.
  void CutDomain(const std::string& aDomain) const;
  //! Holds back what flows from one to the other, silently; it goes on when healed.
  void DropOneWay(const std::string& aFrom, const std::string& aTo) const;
  //! Holds back what flows between the two in both directions, silently.
  void Drop(const std::string& aOne, const std::string& aOther) const;
  //! Makes the present connections between the two silent for good; new ones work.
  void Freeze(const std::string& aOne, const std::string& aOther) const;
  //! Makes all present connections silent for good; new ones work.
  void FreezeAll() const;
  void SetDelay(const std::string& aOne,
                const std::string& aOther,
                std::chrono::microseconds aOneWay) const;
  //! Bytes a second in each direction, shared by all connections; 0 for no limit.
  void SetBandwidth(const std::string& aOne,
                    const std::string& aOther,
                    std::uint64_t aBytesPerSecond) const;
  //! Takes back cuts and drops between the two (not delay, bandwidth or frozen connections).
  void Heal(const std::string& aOne, const std::string& aOther) const;
  void HealDomain(const std::string& aDomain) const;
  void HealAll() const;

  LinkTraffic TrafficBetween(const std::string& aFrom, const std::string& aTo) const;
  //! What crossed from any of the one group to any of the other.
  LinkTraffic CountBetween(const std::vector<std::string>& aFrom,
                           const std::vector<std::string>& aTo) const;

  const std::map<std::string, unsigned>& Numbers() const { return numbers_; }

private:
  //! The rule for one direction, with aChange added.
  nlohmann::json Rule(const std::string& aFrom,
                      const std::string& aTo,
                      const nlohmann::json& aChange) const;
  void AddBothWays(nlohmann::json& aRules,
                   const std::string& aOne,
                   const std::string& aOther,
                   const nlohmann::json& aChange) const;
  void SetBothWays(const std::string& aOne,
                   const std::string& aOther,
                   const nlohmann::json& aChange) const;
  void SetAround(const std::string& aDomain, const nlohmann::json& aChange) const;
  void Send(const nlohmann::json& aRules) const;

  common::Address control_;
  std::map<std::string, unsigned> numbers_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FaultProxyClient_h
