#ifndef dandelionstand_tests_integration_CallFleet_h
#define dandelionstand_tests_integration_CallFleet_h

#include "tests/support/Fleet.h"

#include <cstdint>
#include <future>
#include <string>

namespace dandelionstand::tests {

inline const std::string kService = "bestellung";

//! A configuration of one service with routes /browse and /files (idempotent), /orders (keyed) and
//! /payments (once).
nlohmann::json CallDocument(std::uint32_t aSlots = 18);

//! A fleet that serves CallDocument() and has a target beside each daemon.
struct CallFleet
{
  CallFleet(std::size_t aDomains, std::size_t aInstancesPerDomain, std::uint32_t aSlots = 18);

  //! Waits until the daemon answers a call with 200.
  bool WaitForService(FleetInstance& aInstance);

  //! Number of runs at all targets.
  std::uint64_t CountRunsByKey(const std::string& aKey);
  std::uint64_t CountRunsByIdentity(const std::string& aIdentity);

  Fleet fleet_;
};

HttpReply SendOrder(const FleetInstance& aInstance, const std::string& aKey);
std::future<HttpReply> SendOrderAsync(const FleetInstance& aInstance, const std::string& aKey);
HttpReply SendPayment(const FleetInstance& aInstance, const std::string& aIdentity);
std::future<HttpReply> SendPaymentAsync(const FleetInstance& aInstance,
                                        const std::string& aIdentity);

//! Value of the header Dandelion-Run: "not-run", "run" or "unknown"; empty if absent.
std::string RunStateOf(const HttpReply& aReply);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_integration_CallFleet_h
