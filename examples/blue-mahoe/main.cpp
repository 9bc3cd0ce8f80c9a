//! Prints the configuration of Blue Mahoe Print Labs: order status, reorders and proof files.

#include "dandelionstand/operators/Configuration.h"

namespace {

using namespace std::chrono_literals;
using dandelionstand::config::Limits;
using dandelionstand::config::TrafficClass;
using dandelionstand::operators::Configuration;
using dandelionstand::operators::EndpointsHandle;
using dandelionstand::operators::Promise;

// Each target has 9 slots and accepts 110 connections.
const Limits kOrderbookLimits{ .slots_ = 9,
                               .connections_ = 110,
                               .queueLength_ = 18,
                               .retryBudgetPercent_ = 20 };
const Limits kReorderDeskLimits{ .slots_ = 9,
                                 .connections_ = 110,
                                 .queueLength_ = 36,
                                 .retryBudgetPercent_ = 10 };
const Limits kProofroomLimits{ .slots_ = 9,
                               .connections_ = 110,
                               .queueLength_ = 9,
                               .retryBudgetPercent_ = 10 };

void AddOrderbook(Configuration& aConfiguration)
{
  const EndpointsHandle orderbook = aConfiguration.AddEndpoints(
    "orderbook", aConfiguration.AddLimits("orderbook", kOrderbookLimits));
  aConfiguration.AddRoute("orderbook-browse",
                          { .pathPrefix_ = "/orderbook",
                            .methods_ = { "GET", "HEAD" },
                            .endpoints_ = orderbook,
                            .promise_ = Promise::Idempotent(4),
                            .trafficClass_ = TrafficClass::kBrowse,
                            .timeout_ = 5s });
  aConfiguration.AddRoute("orderbook-status",
                          { .pathPrefix_ = "/orderbook/status",
                            .methods_ = { "GET" },
                            .endpoints_ = orderbook,
                            .promise_ = Promise::Idempotent(4),
                            .trafficClass_ = TrafficClass::kLookup,
                            .timeout_ = 800ms });
}

void AddReorderDesk(Configuration& aConfiguration)
{
  const EndpointsHandle reorderDesk = aConfiguration.AddEndpoints(
    "reorder-desk", aConfiguration.AddLimits("reorder-desk", kReorderDeskLimits));
  aConfiguration.AddRoute("reorder-lookup",
                          { .pathPrefix_ = "/reorder-desk",
                            .methods_ = { "GET" },
                            .endpoints_ = reorderDesk,
                            .promise_ = Promise::Idempotent(3),
                            .trafficClass_ = TrafficClass::kLookup,
                            .timeout_ = 1s });
  aConfiguration.AddRoute("reorder-place",
                          { .pathPrefix_ = "/reorder-desk",
                            .methods_ = { "POST" },
                            .endpoints_ = reorderDesk,
                            .promise_ = Promise::Keyed(3),
                            .trafficClass_ = TrafficClass::kOrder,
                            .timeout_ = 10s });
}

void AddProofroom(Configuration& aConfiguration)
{
  const EndpointsHandle proofroom = aConfiguration.AddEndpoints(
    "proofroom", aConfiguration.AddLimits("proofroom", kProofroomLimits));
  aConfiguration.AddRoute("proofroom-download",
                          { .pathPrefix_ = "/proofroom",
                            .methods_ = { "GET", "HEAD" },
                            .endpoints_ = proofroom,
                            .promise_ = Promise::Idempotent(6),
                            .trafficClass_ = TrafficClass::kDownload,
                            .timeout_ = 10min });
  aConfiguration.AddRoute("proofroom-upload",
                          { .pathPrefix_ = "/proofroom",
                            .methods_ = { "POST" },
                            .endpoints_ = proofroom,
                            .promise_ = Promise::Once(),
                            .trafficClass_ = TrafficClass::kLookup,
                            .timeout_ = 30s });
}

} // namespace

int main()
{
  Configuration configuration;
  AddOrderbook(configuration);
  AddReorderDesk(configuration);
  AddProofroom(configuration);
  return dandelionstand::operators::PrintConfiguration(configuration);
}
