//! Prints the configuration of Zafukreis Sitzwaren: catalogue, orders and cutting patterns.

#include "dandelionstand/operators/Configuration.h"

namespace {

using namespace std::chrono_literals;
using dandelionstand::config::Limits;
using dandelionstand::config::TrafficClass;
using dandelionstand::operators::Configuration;
using dandelionstand::operators::EndpointsHandle;
using dandelionstand::operators::Promise;

// Each target has 18 slots and accepts 110 connections.
const Limits kKatalogLimits{ .slots_ = 18,
                             .connections_ = 110,
                             .queueLength_ = 36,
                             .retryBudgetPercent_ = 20 };
const Limits kBestellungLimits{ .slots_ = 18,
                                .connections_ = 110,
                                .queueLength_ = 72,
                                .retryBudgetPercent_ = 10 };
const Limits kSchnittmusterLimits{ .slots_ = 18,
                                   .connections_ = 110,
                                   .queueLength_ = 18,
                                   .retryBudgetPercent_ = 10 };

void AddKatalog(Configuration& aConfiguration)
{
  const EndpointsHandle katalog =
    aConfiguration.AddEndpoints("katalog", aConfiguration.AddLimits("katalog", kKatalogLimits));
  aConfiguration.AddRoute("katalog-browse",
                          { .pathPrefix_ = "/katalog",
                            .methods_ = { "GET", "HEAD" },
                            .endpoints_ = katalog,
                            .promise_ = Promise::Idempotent(4),
                            .trafficClass_ = TrafficClass::kBrowse,
                            .timeout_ = 8s });
  aConfiguration.AddRoute("katalog-lookup",
                          { .pathPrefix_ = "/katalog/intern",
                            .methods_ = { "GET" },
                            .endpoints_ = katalog,
                            .promise_ = Promise::Idempotent(3),
                            .trafficClass_ = TrafficClass::kLookup,
                            .timeout_ = 500ms });
}

void AddBestellung(Configuration& aConfiguration)
{
  const EndpointsHandle bestellung = aConfiguration.AddEndpoints(
    "bestellung", aConfiguration.AddLimits("bestellung", kBestellungLimits));
  aConfiguration.AddRoute("bestellung-status",
                          { .pathPrefix_ = "/bestellung",
                            .methods_ = { "GET", "HEAD" },
                            .endpoints_ = bestellung,
                            .promise_ = Promise::Idempotent(3),
                            .trafficClass_ = TrafficClass::kLookup,
                            .timeout_ = 2s });
  aConfiguration.AddRoute("bestellung-order",
                          { .pathPrefix_ = "/bestellung",
                            .methods_ = { "POST" },
                            .endpoints_ = bestellung,
                            .promise_ = Promise::Keyed(3),
                            .trafficClass_ = TrafficClass::kOrder,
                            .timeout_ = 10s });
  aConfiguration.AddRoute("bestellung-payment",
                          { .pathPrefix_ = "/bestellung/anzahlung",
                            .methods_ = { "POST" },
                            .endpoints_ = bestellung,
                            .promise_ = Promise::Keyed(3),
                            .trafficClass_ = TrafficClass::kOrder,
                            .timeout_ = 15s });
}

void AddSchnittmuster(Configuration& aConfiguration)
{
  const EndpointsHandle schnittmuster = aConfiguration.AddEndpoints(
    "schnittmuster", aConfiguration.AddLimits("schnittmuster", kSchnittmusterLimits));
  aConfiguration.AddRoute("schnittmuster-download",
                          { .pathPrefix_ = "/schnittmuster",
                            .methods_ = { "GET", "HEAD" },
                            .endpoints_ = schnittmuster,
                            .promise_ = Promise::Idempotent(6),
                            .trafficClass_ = TrafficClass::kDownload,
                            .timeout_ = 30min });
}

} // namespace

int main()
{
  Configuration configuration;
  AddKatalog(configuration);
  AddBestellung(configuration);
  AddSchnittmuster(configuration);
  return dandelionstand::operators::PrintConfiguration(configuration);
}
