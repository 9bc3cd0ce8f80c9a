#ifndef dandelionstand_tests_integration_CallFleet_h
#define dandelionstand_tests_integration_CallFleet_h

#include "tests/support/Fleet.h"

#include <cstdint>
#include <future>
#include <string>

namespace dandelionstand::tests {

inline const std::string kService = "bestellung";

//! Routes of one service: /browse, /files (downloads), /orders (keyed) and /payments (once).
nlohmann::json CallDocument(std::uint32_t aSlots = 18);

//! A fleet that serves CallDocument(); each failure domain has daemons with targets.
struct CallFleet
{
  CallFleet(std::size_t aDomains, std::size_t aInstancesPerDomain, std::uint32_t aSlots = 18);

  //! Waits until the daemon answers from a target.
  bool WaitForService(FleetInstance& aInstance);

  //! How often the targets ran requests with the key.
  std::uint64_t RunsOfKey(const std::string& aKey);
  std::uint64_t RunsOfIdentity(const std::string& aIdentity);

  Fleet fleet_;
};

HttpReply SendOrder(const FleetInstance& aInstance, const std::string& aKey);
std::future<HttpReply> SendOrderLater(const FleetInstance& aInstance, const std::string& aKey);
HttpReply SendPayment(const FleetInstance& aInstance, const std::string& aIdentity);
std::future<HttpReply> SendPaymentLater(const FleetInstance& aInstance,
                                        const std::string& aIdentity);

//! What the refusal says of the request: "not-run", "run" or "unknown".
std::string RunStateOf(const HttpReply& aReply);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_integration_CallFleet_h
