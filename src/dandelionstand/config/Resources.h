#ifndef dandelionstand_config_Resources_h
#define dandelionstand_config_Resources_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstand::config {

using LimitsName = common::StrongId<struct LimitsNameTag, std::string>;
using RouteName = common::StrongId<struct RouteNameTag, std::string>;

enum class ResourceKind
{
  kLimits,
  kEndpoints,
  kRoute,
};

//! Names one resource among all kinds.
struct ResourceKey
{
  ResourceKind kind_;
  std::string name_;

  auto operator<=>(const ResourceKey&) const = default;

  //! Written as in a document: "limits.katalog".
  std::string ToString() const;
};

//! Name of the section of a document that holds the resources of a kind.
const char* SectionName(ResourceKind aKind);

//! What may be done with a request whose outcome is unknown.
enum class Idempotency
{
  kIdempotent, //!< Runs any number of times with one effect; retried after any failure.
  kKeyed,      //!< Runs at most once for each idempotency key.
  kOnce,       //!< No key: exactly one attempt that may have run.
};

//! The class decides the order in a target's queue and what is shed first.
enum class TrafficClass
{
  kOrder,
  kLookup,
  kDownload,
  kBrowse,
};

//! The class's name in documents, metrics and reports.
const char* ToText(TrafficClass aClass);

//! How much work each endpoint of a service takes.
struct Limits
{
  std::uint32_t slots_ = 8;               //!< Requests that run at one time.
  std::uint32_t connections_ = 100;       //!< Connections of a daemon to its target.
  std::uint32_t queueLength_ = 16;        //!< Requests that wait for a slot.
  std::uint32_t retryBudgetPercent_ = 10; //!< Retries as a share of first attempts.

  bool operator==(const Limits&) const = default;
};

//! The endpoints of a service; the endpoints themselves announce their presence.
struct Endpoints
{
  LimitsName limits_;

  bool operator==(const Endpoints&) const = default;
};

//! A service that takes a share of a route's requests.
struct SplitPart
{
  common::ServiceName service_;
  std::uint32_t weight_ = 0;

  bool operator==(const SplitPart&) const = default;
};

//! What a client may send, and how long it may take or stay idle.
struct ClientLimits
{
  std::uint64_t headBytes_ = 16UL * 1024;
  std::uint64_t bodyBytes_ = 1024UL * 1024;
  common::Duration headTime_ = std::chrono::seconds(10); //!< For a head, from its first byte.
  common::Duration idleTime_ = std::chrono::seconds(60);

  bool operator==(const ClientLimits&) const = default;
};

//! Which requests go to which service, and what was promised for them.
struct Route
{
  std::string pathPrefix_;
  std::vector<std::string> methods_; //!< Empty: any method.
  common::ServiceName endpoints_;
  Idempotency idempotency_ = Idempotency::kOnce;
  TrafficClass trafficClass_ = TrafficClass::kBrowse;
  common::Duration timeout_ = std::chrono::seconds(2);
  std::uint32_t attempts_ = 3;
  std::string host_;                                     //!< Empty: any host.
  std::vector<SplitPart> split_;                         //!< Instead of endpoints_, by weight.
  std::uint32_t priority_ = 0;                           //!< Rank under load; 0 goes first.
  common::Duration objective_ = std::chrono::seconds(1); //!< Latency objective of a whole answer.

  bool operator==(const Route&) const = default;
};

//! The value of a resource of any kind; the alternatives are in the order of ResourceKind.
using ResourceValue = std::variant<Limits, Endpoints, Route>;

ResourceKind KindOf(const ResourceValue& aValue);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Resources_h
