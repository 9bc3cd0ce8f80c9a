#include "dandelionstand/load/Topology.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace dandelionstand::load {

namespace {

using common::Address;

constexpr std::uint32_t kFirstDomainByte = 10;
constexpr std::uint32_t kMaxFailureDomains = 200;
constexpr std::uint32_t kMaxInstancesPerDomain = 250;
constexpr int kCallersPort = 7000;
constexpr int kAdminPort = 7001;
constexpr int kPeersPort = 7002;
constexpr int kProxiedPeersPort = 7102;
constexpr int kTargetPort = 8000;
constexpr int kLogPort = 9000;
constexpr int kProxiedLogPort = 9100;
constexpr int kProxyControlPort = 9200;
constexpr std::uint32_t kLogHost = 254;
constexpr std::uint32_t kProxyHost = 253;

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
    throw std::invalid_argument("each region needs a failure domain");
  }
  if (aShape.daemons_ < aShape.failureDomains_ ||
      aShape.daemons_ > aShape.failureDomains_ * kMaxInstancesPerDomain) {
    throw std::invalid_argument("each failure domain needs 1 to 250 daemons");
  }
  if (aShape.services_ == 0) {
    throw std::invalid_argument("there must be a service");
  }
}

std::string MakeIp(const TopologyShape& aShape, std::uint32_t aDomain, std::uint32_t aHost)
{
  return "127." + std::to_string(NetworkOf(aDomain)) + "." + std::to_string(aShape.runNumber_) +
         "." + std::to_string(aHost);
}

Address MakeAddress(const std::string& aIp, int aPort)
{
  return Address(aIp + ":" + std::to_string(aPort));
}

InstancePlan MakeInstance(const TopologyShape& aShape,
                          const UserNames& aNames,
                          const std::vector<std::string>& aServices,
                          std::uint32_t aNumber)
{
  const std::uint32_t domain = aNumber % aShape.failureDomains_;
  const std::uint32_t place = aNumber / aShape.failureDomains_;
  const std::string region = aNames.regions_[domain % aShape.regions_];
  const std::string domainName = region + "-" + std::to_string(domain / aShape.regions_ + 1);
  const std::string ip = MakeIp(aShape, domain, place + 1);
  InstancePlan instance;
  // The domain shifts the services, so that small fleets still have each of them somewhere.
  instance.service_ = common::ServiceName(aServices[(place + domain) % aServices.size()]);
  instance.instance_ = common::InstanceId(domainName + "-" + std::to_string(place + 1));
  instance.failureDomain_ = common::FailureDomain(domainName);
  instance.region_ = common::Region(region);
  instance.ip_ = ip;
  instance.callers_ = MakeAddress(ip, kCallersPort);
  instance.admin_ = MakeAddress(ip, kAdminPort);
  instance.peers_ = MakeAddress(ip, kPeersPort);
  instance.advertise_ = MakeAddress(ip, aShape.isProxied_ ? kProxiedPeersPort : kPeersPort);
  instance.target_ = MakeAddress(ip, kTargetPort);
  return instance;
}

//! One daemon of each of the first failure domains.
std::vector<std::string> SeedsFor(const Topology& aTopology, const InstancePlan& aInstance)
{
  std::vector<std::string> seeds;
  for (const InstancePlan& other : aTopology.instances_) {
    if (seeds.size() == aTopology.shape_.seeds_) {
      break;
    }
    if (other.instance_ != aInstance.instance_) {
      seeds.push_back(other.advertise_.Get());
    }
  }
  return seeds;
}

} // namespace

std::uint32_t NetworkOf(std::uint32_t aFailureDomain)
{
  return kFirstDomainByte + aFailureDomain;
}

std::uint32_t RegionNumberOf(const TopologyShape& aShape, std::uint32_t aNetwork)
{
  return (aNetwork - kFirstDomainByte) % aShape.regions_;
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
  for (std::uint32_t number = 0; number < aShape.daemons_; ++number) {
    topology.instances_.push_back(MakeInstance(aShape, names, services, number));
  }
  const std::string logIp = MakeIp(aShape, 0, kLogHost);
  topology.log_ = MakeAddress(logIp, kLogPort);
  topology.logPath_ = MakeAddress(logIp, aShape.isProxied_ ? kProxiedLogPort : kLogPort);
  topology.proxyControl_ = MakeAddress(MakeIp(aShape, 0, kProxyHost), kProxyControlPort);
  return topology;
}

std::string MakeDaemonSettings(const Topology& aTopology, const InstancePlan& aInstance)
{
  nlohmann::ordered_json settings = {
    { "instance", aInstance.instance_.Get() },
    { "failure_domain", aInstance.failureDomain_.Get() },
    { "region", aInstance.region_.Get() },
    { "callers", { { "listen", aInstance.callers_.Get() } } },
    { "admin", { { "listen", aInstance.admin_.Get() } } },
    { "peers",
      { { "listen", aInstance.peers_.Get() },
        { "advertise", aInstance.advertise_.Get() },
        { "source_address", aInstance.ip_ },
        { "seeds", SeedsFor(aTopology, aInstance) } } },
    { "log", { { "address", aTopology.logPath_.Get() } } },
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
