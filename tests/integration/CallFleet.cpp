#include "CallFleet.h"

#include "tests/support/Wait.h"

namespace dandelionstand::tests {

namespace {

nlohmann::json MakeRoute(const std::string& aPath,
                         const std::string& aMethod,
                         const std::string& aIdempotency,
                         const std::string& aClass)
{
  return { { "path_prefix", aPath },
           { "methods", nlohmann::json::array({ aMethod }) },
           { "endpoints", kService },
           { "idempotency", aIdempotency },
           { "class", aClass },
           { "timeout_ms", 2000 },
           { "attempts", aIdempotency == "idempotent" ? 3 : 1 } };
}

FleetOptions MakeOptions(std::size_t aDomains, std::size_t aInstancesPerDomain)
{
  FleetOptions options;
  options.regions_ = MakeRegions(1, aDomains, aInstancesPerDomain, { kService });
  return options;
}

std::uint64_t RunCount(const nlohmann::json& aRuns, const std::string& aName)
{
  return aRuns.is_object() ? aRuns.value(aName, std::uint64_t{ 0 }) : 0;
}

} // namespace

nlohmann::json CallDocument(std::uint32_t aSlots)
{
  nlohmann::json document;
  document["limits"]["small"] = { { "slots", aSlots },
                                  { "connections", 110 },
                                  { "queue_length", 2 * aSlots },
                                  { "retry_budget_percent", 10 } };
  document["endpoints"][kService]["limits"] = "small";
  document["routes"]["browse"] = MakeRoute("/browse", "GET", "idempotent", "browse");
  document["routes"]["files"] = MakeRoute("/files", "GET", "idempotent", "download");
  document["routes"]["orders"] = MakeRoute("/orders", "POST", "keyed", "order");
  document["routes"]["payments"] = MakeRoute("/payments", "POST", "once", "order");
  return document;
}

CallFleet::CallFleet(std::size_t aDomains, std::size_t aInstancesPerDomain, std::uint32_t aSlots)
  : fleet_(MakeOptions(aDomains, aInstancesPerDomain))
{
  fleet_.Start();
  const std::uint64_t version = fleet_.Publish(CallDocument(aSlots));
  bool isReady = fleet_.WaitForVersion(version);
  for (FleetInstance& instance : fleet_) {
    isReady = isReady && WaitForService(instance);
  }
  if (!isReady) {
    throw std::runtime_error(
      "the fleet is not ready: a daemon lacks the configuration or did not answer with 200");
  }
}

bool CallFleet::WaitForService(FleetInstance& aInstance)
{
  return WaitUntil([&] { return aInstance.Get("/browse").status_ == 200; });
}

std::uint64_t CallFleet::CountRunsByKey(const std::string& aKey)
{
  std::uint64_t count = 0;
  for (FleetInstance& instance : fleet_) {
    count += RunCount(GetJson(instance.Addresses().target_, "/runs"), aKey);
  }
  return count;
}

std::uint64_t CallFleet::CountRunsByIdentity(const std::string& aIdentity)
{
  std::uint64_t count = 0;
  for (FleetInstance& instance : fleet_) {
    count += RunCount(GetJson(instance.Addresses().target_, "/runs?by=identity"), aIdentity);
  }
  return count;
}

HttpReply SendOrder(const FleetInstance& aInstance, const std::string& aKey)
{
  const RequestOptions options{ .headers_ = { { "Idempotency-Key", aKey },
                                              { "Request-Identity", aKey } } };
  return aInstance.Post("/orders", "one kapok cushion", options);
}

std::future<HttpReply> SendOrderAsync(const FleetInstance& aInstance, const std::string& aKey)
{
  return std::async(std::launch::async, [&aInstance, aKey] { return SendOrder(aInstance, aKey); });
}

HttpReply SendPayment(const FleetInstance& aInstance, const std::string& aIdentity)
{
  const RequestOptions options{ .headers_ = { { "Request-Identity", aIdentity } } };
  return aInstance.Post("/payments", "deposit", options);
}

std::future<HttpReply> SendPaymentAsync(const FleetInstance& aInstance,
                                        const std::string& aIdentity)
{
  return std::async(std::launch::async,
                    [&aInstance, aIdentity] { return SendPayment(aInstance, aIdentity); });
}

std::string RunStateOf(const HttpReply& aReply)
{
  return aReply.Header("dandelion-run");
}

} // namespace dandelionstand::tests
