#include "dandelionstand/load/Topology.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace dandelionstand::load {

namespace {

using common::Address;

constexpr std::uint32_t kFirstNetworkByte = 10;
constexpr std::uint32_t kMaxFailureDomains = 200;
constexpr std::uint32_t kMaxInstancesPerDomain = 250;
constexpr int kCallerPort = 7000;
constexpr int kAdminPort = 7001;
constexpr int kPeerPort = 7002;
constexpr int kProxiedPeerPort = 7102;
constexpr int kTargetPort = 8000;
constexpr int kLogPort = 9000;
constexpr int kProxiedLogPort = 9100;
constexpr int kProxyControlPort = 9200;
constexpr std::uint32_t kLogHostByte = 254;
constexpr std::uint32_t kProxyHostByte = 253;

struct UserNames
{
  std::vector<std::string> regions_;
  std::vector<std::string> services_;
};

UserNames NamesOf(const std::string& aUser)
{
  if (aUser == "zafukreis") {
    return { { "ostalpen", "westalpen", "donau" }, { "katalog", "bestellung", "schnittmuster" } };
  }
  if (aUser == "blue-mahoe") {
    return { { "kgn", "mbj", "mnd" }, { "orderbook", "reorder-desk", "proofroom" } };
  }
  throw std::invalid_argument("no such user: " + aUser);
}

void CheckShape(const TopologyShape& aShape, const UserNames& aNames)
{
  if (aShape.regions_ == 0 || aShape.regions_ > aNames.regions_.size()) {
    throw std::invalid_argument("the number of regions must be 1 to 3");
  }
  if (aShape.failureDomains_ < aShape.regions_ || aShape.failureDomains_ > kMaxFailureDomains) {
    throw std::invalid_argument(
      "there must be at least one failure domain for each region and at most 200 in total");
  }
  if (aShape.daemons_ < aShape.failureDomains_ ||
      aShape.daemons_ > aShape.failureDomains_ * kMaxInstancesPerDomain) {
    throw std::invalid_argument("each failure domain needs 1 to 250 daemons");
  }
  if (aShape.services_ == 0) {
    throw std::invalid_argument("there must be at least one service");
  }
}

std::string MakeIp(const TopologyShape& aShape, std::uint32_t aDomain, std::uint32_t aHostByte)
{
  return "127." + std::to_string(NetworkByteOf(aDomain)) + "." + std::to_string(aShape.runNumber_) +
         "." + std::to_string(aHostByte);
}

Address MakeAddress(const std::string& aIp, int aPort)
{
  return Address(aIp + ":" + std::to_string(aPort));
}

InstancePlan MakeInstance(const TopologyShape& aShape,
                          const UserNames& aNames,
                          const std::vector<std::string>& aServices,
                          std::uint32_t aIndex)
{
  const std::uint32_t domain = aIndex % aShape.failureDomains_;
  const std::uint32_t indexInDomain = aIndex / aShape.failureDomains_;
  const std::string region = aNames.regions_[domain % aShape.regions_];
  const std::string domainName = region + "-" + std::to_string(domain / aShape.regions_ + 1);
  const std::string ip = MakeIp(aShape, domain, indexInDomain + 1);
  InstancePlan instance;
  // Offset by the domain, so that small fleets have instances of every service.
  instance.service_ = common::ServiceName(aServices[(indexInDomain + domain) % aServices.size()]);
  instance.instance_ = common::InstanceId(domainName + "-" + std::to_string(indexInDomain + 1));
  instance.failureDomain_ = common::FailureDomain(domainName);
  instance.region_ = common::Region(region);
  instance.ip_ = ip;
  instance.callerAddress_ = MakeAddress(ip, kCallerPort);
  instance.adminAddress_ = MakeAddress(ip, kAdminPort);
  instance.peerAddress_ = MakeAddress(ip, kPeerPort);
  instance.advertisedAddress_ = MakeAddress(ip, aShape.isProxied_ ? kProxiedPeerPort : kPeerPort);
  instance.targetAddress_ = MakeAddress(ip, kTargetPort);
  return instance;
}

//! The first daemons of the topology other than aInstance. Consecutive instances are in different
//! failure domains.
std::vector<std::string> SeedsFor(const Topology& aTopology, const InstancePlan& aInstance)
{
  std::vector<std::string> seeds;
  for (const InstancePlan& other : aTopology.instances_) {
    if (seeds.size() == aTopology.shape_.seeds_) {
      break;
    }
    if (other.instance_ != aInstance.instance_) {
      seeds.push_back(other.advertisedAddress_.Get());
    }
  }
  return seeds;
}

} // namespace

std::uint32_t NetworkByteOf(std::uint32_t aFailureDomain)
{
  return kFirstNetworkByte + aFailureDomain;
}

std::uint32_t RegionIndexOf(const TopologyShape& aShape, std::uint32_t aNetworkByte)
{
  return (aNetworkByte - kFirstNetworkByte) % aShape.regions_;
}

std::vector<std::string> ServicesOf(const TopologyShape& aShape)
{
  std::vector<std::string> services = NamesOf(aShape.user_).services_;
  services.resize(std::min<std::size_t>(services.size(), aShape.services_));
  while (services.size() < aShape.services_) {
    services.push_back("service-" + std::to_string(services.size() + 1));
  }
  return services;
}

Topology MakeTopology(const TopologyShape& aShape)
{
  const UserNames names = NamesOf(aShape.user_);
  CheckShape(aShape, names);
  const std::vector<std::string> services = ServicesOf(aShape);
  Topology topology;
  topology.shape_ = aShape;
  for (std::uint32_t index = 0; index < aShape.daemons_; ++index) {
    topology.instances_.push_back(MakeInstance(aShape, names, services, index));
  }
  const std::string logIp = MakeIp(aShape, 0, kLogHostByte);
  topology.logAddress_ = MakeAddress(logIp, kLogPort);
  topology.advertisedLogAddress_ =
    MakeAddress(logIp, aShape.isProxied_ ? kProxiedLogPort : kLogPort);
  topology.proxyControlAddress_ = MakeAddress(MakeIp(aShape, 0, kProxyHostByte), kProxyControlPort);
  return topology;
}

std::string MakeDaemonSettings(const Topology& aTopology, const InstancePlan& aInstance)
{
  nlohmann::ordered_json settings = {
    { "instance", aInstance.instance_.Get() },
    { "failure_domain", aInstance.failureDomain_.Get() },
    { "region", aInstance.region_.Get() },
    { "callers", { { "listen", aInstance.callerAddress_.Get() } } },
    { "admin", { { "listen", aInstance.adminAddress_.Get() } } },
    { "peers",
      { { "listen", aInstance.peerAddress_.Get() },
        { "advertise", aInstance.advertisedAddress_.Get() },
        { "source_address", aInstance.ip_ },
        { "seeds", SeedsFor(aTopology, aInstance) } } },
    { "log", { { "address", aTopology.advertisedLogAddress_.Get() } } },
    { "spreading", aTopology.shape_.spreading_ },
    { "profile", aTopology.shape_.profile_ },
  };
  if (aTopology.shape_.idleCloseTimeout_.count() > 0) {
    const auto idleClose =
      std::chrono::duration_cast<std::chrono::milliseconds>(aTopology.shape_.idleCloseTimeout_);
    settings["peers"]["idle_close_ms"] = idleClose.count();
  }
  constexpr int kIndent = 2;
  return settings.dump(kIndent) + "\n";
}

} // namespace dandelionstand::load
