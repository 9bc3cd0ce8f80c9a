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

//! Identifies a resource by kind and name.
struct ResourceKey
{
  ResourceKind kind_;
  std::string name_;

  auto operator<=>(const ResourceKey&) const = default;

  //! The path in a document, such as "limits.katalog".
  std::string ToString() const;
};

//! Name of the document section for resources of a kind.
const char* SectionName(ResourceKind aKind);

//! Whether a request may be retried when its outcome is unknown.
enum class Idempotency
{
  kIdempotent, //!< Repeating the request has no further effect; retried after any failure.
  kKeyed,      //!< Runs at most once per idempotency key.
  kOnce,       //!< No key; not retried once an attempt may have run.
};

//! Determines a request's place in the target's queue and the order of load shedding.
enum class TrafficClass
{
  kOrder,
  kLookup,
  kDownload,
  kBrowse,
};

//! The class's name in documents, metrics and reports.
const char* ToText(TrafficClass aClass);

//! Capacity limits of each endpoint of a service.
struct Limits
{
  std::uint32_t slots_ = 8;               //!< Maximum number of concurrent requests.
  std::uint32_t connections_ = 100;       //!< Maximum connections of a daemon to its target.
  std::uint32_t queueLength_ = 16;        //!< Maximum number of requests waiting for a slot.
  std::uint32_t retryBudgetPercent_ = 10; //!< Retries as a percentage of first attempts.

  bool operator==(const Limits&) const = default;
};

//! Settings of a service's endpoints. The endpoints announce themselves; they are not listed here.
struct Endpoints
{
  LimitsName limits_;

  bool operator==(const Endpoints&) const = default;
};

//! A service that receives a weighted share of a route's requests.
struct SplitPart
{
  common::ServiceName service_;
  //! In any unit that the parts of a route share.
  std::uint64_t weight_ = 0;

  bool operator==(const SplitPart&) const = default;
};

//! Size and time limits on client connections and requests.
struct ClientLimits
{
  std::uint64_t headBytes_ = 16UL * 1024;
  std::uint64_t bodyBytes_ = 1024UL * 1024;
  //! Time to receive a request head, from its first byte.
  common::Duration headTime_ = std::chrono::seconds(10);
  //! Time that a connection may stay idle.
  common::Duration idleTime_ = std::chrono::seconds(60);

  bool operator==(const ClientLimits&) const = default;
};

//! Assigns requests to a service and sets how they are handled.
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
  std::vector<SplitPart> split_;                         //!< If not empty, replaces endpoints_.
  std::uint32_t priority_ = 0;                           //!< Rank under load; 0 is served first.
  common::Duration objective_ = std::chrono::seconds(1); //!< Latency objective, complete answer.
  bool isPublic_ = false;                                //!< Callers need no API key.

  bool operator==(const Route&) const = default;
};

//! The value of a resource of any kind. The alternatives are in the order of ResourceKind.
using ResourceValue = std::variant<Limits, Endpoints, Route>;

ResourceKind KindOf(const ResourceValue& aValue);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Resources_h
