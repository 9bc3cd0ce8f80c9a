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

//! Name of the log service's location, used like that of a failure domain.
inline const std::string kPlatform = "platform";

//! Traffic between two failure domains in one direction.
struct LinkTraffic
{
  std::uint64_t bytes_ = 0;
  std::uint64_t connections_ = 0; //!< Opened in this direction.
};

//! Sets network faults between failure domains at a running standin-fault-proxy. Each name is a
//! failure domain or kPlatform; the same name twice selects the traffic inside that domain.
class FaultProxyClient
{
public:
  //! aDomainNumbers maps each failure domain to the second octet of its IP addresses.
  FaultProxyClient(common::Address aProxyControl, std::map<std::string, unsigned> aDomainNumbers);

  //! Resets all connections between two domains, and new ones too.
  void Cut(const std::string& aFirst, const std::string& aSecond) const;
  //! Cuts each domain of the first group off from each domain of the second.
  void CutGroups(const std::vector<std::string>& aFirstGroup,
                 const std::vector<std::string>& aSecondGroup) const;
  //! Cuts a failure domain off from all others and from kPlatform.
  void CutDomain(const std::string& aDomain) const;
  //! Withholds data in one direction, without closing connections, until Heal() lets it pass.
  void DropOneWay(const std::string& aFrom, const std::string& aTo) const;
  //! Like DropOneWay(), in both directions.
  void Drop(const std::string& aFirst, const std::string& aSecond) const;
  //! Stops all data on the open connections between two domains, permanently and without closing
  //! them. New connections work.
  void Freeze(const std::string& aFirst, const std::string& aSecond) const;
  //! Like Freeze(), for all open connections.
  void FreezeAll() const;
  void SetDelay(const std::string& aFirst,
                const std::string& aSecond,
                std::chrono::microseconds aOneWayDelay) const;
  //! Limits each direction, over all its connections; 0 removes the limit.
  void SetBandwidth(const std::string& aFirst,
                    const std::string& aSecond,
                    std::uint64_t aBytesPerSecond) const;
  //! Ends cuts and drops between two domains. Delay, bandwidth and frozen connections stay.
  void Heal(const std::string& aFirst, const std::string& aSecond) const;
  void HealDomain(const std::string& aDomain) const;
  void HealAll() const;

  LinkTraffic TrafficBetween(const std::string& aFrom, const std::string& aTo) const;
  //! Sums the traffic from the domains of one group to those of the other.
  LinkTraffic TrafficBetweenGroups(const std::vector<std::string>& aFrom,
                                   const std::vector<std::string>& aTo) const;

  const std::map<std::string, unsigned>& DomainNumbers() const { return domainNumbers_; }

private:
  //! A rule for one direction with the given fields.
  nlohmann::json Rule(const std::string& aFrom,
                      const std::string& aTo,
                      const nlohmann::json& aFields) const;
  void AddBothDirections(nlohmann::json& aRules,
                         const std::string& aFirst,
                         const std::string& aSecond,
                         const nlohmann::json& aFields) const;
  void SetBothDirections(const std::string& aFirst,
                         const std::string& aSecond,
                         const nlohmann::json& aFields) const;
  void SetAroundDomain(const std::string& aDomain, const nlohmann::json& aFields) const;
  void Send(const nlohmann::json& aRules) const;

  common::Address control_;
  std::map<std::string, unsigned> domainNumbers_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_FaultProxyClient_h
