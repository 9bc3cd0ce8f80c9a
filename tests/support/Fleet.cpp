#include "tests/support/Fleet.h"
#include "dandelionstand/platform/RecordFrames.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <random>
#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

namespace {

using nlohmann::json;

constexpr unsigned kPlatformNumber = 10;
constexpr unsigned kFirstDomainNumber = 11;
constexpr std::size_t kLogTailBytes = 4'000;
constexpr unsigned kMaxSubnet = 250;

unsigned PickSubnet()
{
  std::random_device random;
  return std::uniform_int_distribution<unsigned>(1, kMaxSubnet)(random);
}

std::map<std::string, unsigned> NumberDomains(const std::vector<RegionOptions>& aRegions)
{
  std::map<std::string, unsigned> numbers = { { kPlatform, kPlatformNumber } };
  unsigned next = kFirstDomainNumber;
  for (const RegionOptions& region : aRegions) {
    for (const DomainOptions& domain : region.domains_) {
      numbers[domain.name_] = next++;
    }
  }
  return numbers;
}

json MakeForward(const common::Address& aListen, const common::Address& aTo)
{
  return { { "listen", aListen.Get() }, { "forward", aTo.Get() } };
}

} // namespace

Fleet::Fleet(FleetOptions aOptions)
  : options_(std::move(aOptions))
  , subnet_(PickSubnet())
  , domainNumbers_(NumberDomains(options_.regions_))
{
  logAddress_ = FreeAddress(IpOf(kPlatform, 0));
  proxiedLogAddress_ = options_.isProxied_ ? FreeAddress(IpOf(kPlatform, 0)) : logAddress_;
  PlanInstances();
  StartPlatform();
  for (InstancePlan& plan : plans_) {
    instances_.emplace_back(plan);
  }
}

Fleet::~Fleet()
{
  if (std::uncaught_exceptions() == 0) {
    return;
  }
  for (const FleetInstance& instance : instances_) {
    const std::string log = instance.Log();
    const std::size_t begin = log.size() > kLogTailBytes ? log.size() - kLogTailBytes : 0;
    std::cerr << "--- log of " << instance.Name() << "\n" << log.substr(begin);
  }
}

void Fleet::PlanInstances()
{
  for (const RegionOptions& region : options_.regions_) {
    for (const DomainOptions& domain : region.domains_) {
      for (std::size_t index = 0; index < domain.instances_.size(); ++index) {
        plans_.push_back(MakePlan(domain.instances_[index], domain.name_, region.name_, index));
      }
    }
  }
  std::size_t next = 0;
  for (const RegionOptions& region : options_.regions_) {
    for (const DomainOptions& domain : region.domains_) {
      for (const InstanceOptions& instance : domain.instances_) {
        WriteSettings(plans_[next++], instance);
      }
    }
  }
}

InstancePlan Fleet::MakePlan(const InstanceOptions& aInstance,
                             const std::string& aDomain,
                             const std::string& aRegion,
                             std::size_t aIndex) const
{
  InstancePlan plan;
  plan.name_ = aInstance.name_;
  plan.domain_ = aDomain;
  plan.region_ = aRegion;
  plan.service_ = options_.hasTargets_ ? aInstance.service_ : "";
  plan.targetArguments_ = options_.targetArguments_;
  plan.folder_ = folder_.Path();
  InstanceAddresses& addresses = plan.addresses_;
  addresses.ip_ = IpOf(aDomain, aIndex);
  addresses.callers_ = FreeAddress(addresses.ip_);
  addresses.admin_ = FreeAddress(addresses.ip_);
  addresses.peers_ = FreeAddress(addresses.ip_);
  addresses.advertise_ = options_.isProxied_ ? FreeAddress(addresses.ip_) : addresses.peers_;
  addresses.target_ = FreeAddress(addresses.ip_);
  return plan;
}

void Fleet::WriteSettings(InstancePlan& aPlan, const InstanceOptions& aInstance) const
{
  const InstanceAddresses& addresses = aPlan.addresses_;
  aPlan.settings_ = { { "instance", aPlan.name_ },
                      { "failure_domain", aPlan.domain_ },
                      { "region", aPlan.region_ },
                      { "callers", { { "listen", addresses.callers_.Get() } } },
                      { "admin", { { "listen", addresses.admin_.Get() } } },
                      { "peers",
                        { { "listen", addresses.peers_.Get() },
                          { "advertise", addresses.advertise_.Get() },
                          { "source_address", addresses.ip_ },
                          { "seeds", SeedsOf(aPlan) } } },
                      { "log", { { "address", proxiedLogAddress_.Get() } } } };
  if (options_.adjustSettings_) {
    options_.adjustSettings_(aInstance, aPlan.settings_);
  }
}

std::vector<std::string> Fleet::SeedsOf(const InstancePlan& aPlan) const
{
  std::vector<std::string> seeds;
  std::map<std::string, std::size_t> seedCounts;
  for (const InstancePlan& plan : plans_) {
    if (plan.name_ != aPlan.name_ && seedCounts[plan.domain_]++ < options_.seedsPerDomain_) {
      seeds.push_back(plan.addresses_.advertise_.Get());
    }
  }
  return seeds;
}

std::string Fleet::IpOf(const std::string& aDomain, std::size_t aIndex) const
{
  return "127." + std::to_string(domainNumbers_.at(aDomain)) + "." + std::to_string(subnet_) + "." +
         std::to_string(aIndex + 1);
}

void Fleet::StartPlatform()
{
  std::vector<std::string> arguments = { "--listen", logAddress_.Get() };
  arguments.insert(arguments.end(), options_.logArguments_.begin(), options_.logArguments_.end());
  logProcess_ = std::make_unique<Process>("standin-log", arguments, folder_.Path() / "log.log");
  logProcess_->WaitForField("listening", "address");
  if (!options_.isProxied_) {
    return;
  }
  json forwards = json::array({ MakeForward(proxiedLogAddress_, logAddress_) });
  for (const InstancePlan& plan : plans_) {
    forwards.push_back(MakeForward(plan.addresses_.advertise_, plan.addresses_.peers_));
  }
  const json settings = { { "control", "127.0.0.1:0" }, { "forwards", forwards } };
  const std::filesystem::path file = folder_.Write("proxy.json", settings.dump(2));
  proxyProcess_ = std::make_unique<Process>("standin-fault-proxy",
                                            std::vector<std::string>{ "--settings", file },
                                            folder_.Path() / "proxy.log");
  const common::Address control(proxyProcess_->WaitForField("listening", "address"));
  faultProxy_ = std::make_unique<FaultProxyClient>(control, domainNumbers_);
}

void Fleet::Start()
{
  for (FleetInstance& instance : instances_) {
    instance.StartDaemon();
  }
  for (FleetInstance& instance : instances_) {
    if (!instance.WaitForDaemon()) {
      throw std::runtime_error("no answer from " + instance.Name() + ":\n" + instance.Log());
    }
    instance.StartTarget();
  }
}

FleetInstance& Fleet::operator[](const std::string& aName)
{
  const auto found = std::find_if(instances_.begin(), instances_.end(), [&](const auto& aInstance) {
    return aInstance.Name() == aName;
  });
  if (found == instances_.end()) {
    throw std::out_of_range("no instance " + aName);
  }
  return *found;
}

namespace {

template<typename Predicate>
std::vector<FleetInstance*> Select(std::deque<FleetInstance>& aInstances, Predicate aPredicate)
{
  std::vector<FleetInstance*> selected;
  for (FleetInstance& instance : aInstances) {
    if (aPredicate(instance)) {
      selected.push_back(&instance);
    }
  }
  return selected;
}

} // namespace

std::vector<FleetInstance*> Fleet::InDomain(const std::string& aDomain)
{
  return Select(instances_, [&](const auto& aInstance) { return aInstance.Domain() == aDomain; });
}

std::vector<FleetInstance*> Fleet::InRegion(const std::string& aRegion)
{
  return Select(instances_,
                [&](const auto& aInstance) { return aInstance.RegionName() == aRegion; });
}

std::vector<FleetInstance*> Fleet::WithService(const std::string& aService)
{
  return Select(instances_, [&](const auto& aInstance) { return aInstance.Service() == aService; });
}

std::vector<std::string> Fleet::DomainsOf(const std::string& aRegion) const
{
  std::vector<std::string> domains;
  for (const RegionOptions& region : options_.regions_) {
    if (region.name_ == aRegion) {
      for (const DomainOptions& domain : region.domains_) {
        domains.push_back(domain.name_);
      }
    }
  }
  return domains;
}

const FaultProxyClient& Fleet::GetFaultProxy() const
{
  if (!faultProxy_) {
    throw std::logic_error("the fleet has no fault proxy");
  }
  return *faultProxy_;
}

void Fleet::ControlLog(const json& aControl) const
{
  PostJson(logAddress_, "/control", aControl);
}

json Fleet::LogCounts() const
{
  return GetJson(logAddress_, "/counts");
}

RunResult Fleet::RunDandelionctl(const std::string& aCommand,
                                 const std::vector<std::string>& aArguments) const
{
  std::vector<std::string> arguments = { aCommand, "--log", logAddress_.Get() };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  return RunToEnd("dandelionctl", arguments);
}

std::uint64_t Fleet::Publish(const json& aDocument) const
{
  const std::filesystem::path file = folder_.Write("document.json", aDocument.dump(2));
  const RunResult result = RunDandelionctl("publish", { "--file", file });
  if (result.exit_ != ExitResult{}) {
    throw std::runtime_error("dandelionctl publish failed:\n" + result.output_);
  }
  return NextOffset("config") - 1;
}

std::uint64_t Fleet::NextOffset(const std::string& aStream) const
{
  // A read from beyond the end returns only the offsets.
  const HttpReply reply =
    HttpGet(logAddress_, "/dandelionstand/log-read?part=0&from=1000000000&topic=" + aStream);
  platform::FrameReader frames(common::Offset(1), 0, 1);
  frames.Feed(reply.body_);
  return frames.EndOffset().Get();
}

bool Fleet::WaitForVersion(std::uint64_t aVersion, std::chrono::milliseconds aTimeout)
{
  return WaitUntil(
    [&]() {
      return std::all_of(instances_.begin(), instances_.end(), [&](const auto& aInstance) {
        return !aInstance.IsRunning() || aInstance.Version() >= aVersion;
      });
    },
    aTimeout);
}

} // namespace dandelionstand::tests
