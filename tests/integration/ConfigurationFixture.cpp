#include "tests/integration/ConfigurationFixture.h"

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/Document.h"
#include "dandelionstand/config/Publish.h"
#include "dandelionstand/platform/RecordFrames.h"
#include "tests/support/Net.h"
#include "tests/support/Wait.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds kSampleInterval = 20ms;
constexpr std::chrono::milliseconds kAppendTimeout = 1s;
constexpr int kStatusOk = 200;

} // namespace

FleetOptions ConfigurationFleet(std::size_t aInstancesPerDomain, const std::string& aProfile)
{
  FleetOptions options;
  options.regions_ = MakeRegions(3, 2, aInstancesPerDomain, {});
  options.hasTargets_ = false;
  options.adjustSettings_ = [aProfile](const InstanceOptions&, json& aSettings) {
    aSettings["profile"] = aProfile;
  };
  return options;
}

json UniformTimeoutDocument(const std::vector<int>& aServices, std::uint64_t aTimeoutMs)
{
  json document = { { "limits", json::object() },
                    { "endpoints", json::object() },
                    { "routes", json::object() } };
  for (const int service : aServices) {
    const std::string number = std::to_string(service);
    document["limits"]["l" + number] = { { "slots", 18 },
                                         { "connections", 110 },
                                         { "queue_length", 36 },
                                         { "retry_budget_percent", 10 } };
    document["endpoints"]["s" + number] = { { "limits", "l" + number } };
    document["routes"]["r" + number] = { { "path_prefix", "/s" + number + "/" },
                                         { "methods", { "GET" } },
                                         { "endpoints", "s" + number },
                                         { "idempotency", "idempotent" },
                                         { "class", "browse" },
                                         { "timeout_ms", aTimeoutMs },
                                         { "attempts", 3 } };
  }
  return document;
}

Publisher::Publisher(Fleet& aFleet, std::string aName)
  : fleet_(aFleet)
  , name_(std::move(aName))
  , state_(std::make_shared<const config::ConfigState>())
{
}

std::uint64_t Publisher::Publish(const json& aDocument)
{
  common::Findings findings;
  const config::ConfigState next = config::ParseDocument(aDocument.dump(), "document", findings);
  if (!findings.IsEmpty()) {
    throw std::runtime_error(findings.ToString());
  }
  return Append(config::ChangesBetween(*state_, next));
}

std::uint64_t Publisher::PublishInvalid()
{
  std::vector<config::Change> changes;
  for (const config::Resource& resource : state_->Resources()) {
    if (std::holds_alternative<config::Endpoints>(resource.value_)) {
      changes.push_back({ resource.key_, resource.version_, std::nullopt });
    } else if (std::holds_alternative<config::Limits>(resource.value_)) {
      config::Limits limits = std::get<config::Limits>(resource.value_);
      limits.slots_ = kRejectedSlots;
      changes.push_back({ resource.key_, resource.version_, limits });
    }
  }
  return Append(std::move(changes));
}

std::uint64_t Publisher::Append(std::vector<config::Change> aChanges)
{
  config::PublishRecord record;
  record.publishId_ = config::PublishId(name_ + "-" + std::to_string(++publishCount_));
  record.operator_ = name_;
  record.builtOn_ = state_->version_;
  record.changes_ = std::move(aChanges);
  return Append(config::EncodePublishRecord(record));
}

std::uint64_t Publisher::Append(const std::string& aRecord)
{
  lastRecord_ = aRecord;
  std::string frame;
  platform::AppendFrame(aRecord, frame);
  const HttpReply reply = HttpPost(fleet_.LogAddress(),
                                   "/dandelionstand/log-append?topic=config&part=0",
                                   frame,
                                   { .timeout_ = kAppendTimeout });
  if (reply.status_ != kStatusOk) {
    return 0;
  }
  const auto offset = reply.Json().at("offset").get<std::uint64_t>() + 1;
  const config::AcceptResult result = config::Accept(*state_, common::Offset(offset), aRecord);
  if (result.nextState_) {
    state_ = result.nextState_;
  }
  return offset;
}

json Publisher::Document() const
{
  return json::parse(config::WriteDocument(*state_));
}

void Publisher::Refresh()
{
  state_ = ReplayLog(fleet_).state_;
}

LogReplay ReplayLog(const Fleet& aFleet)
{
  LogReplay replay{ std::make_shared<const config::ConfigState>(), {} };
  const HttpReply reply =
    HttpGet(aFleet.LogAddress(), "/dandelionstand/log-read?topic=config&part=0&from=0");
  platform::FrameReader frames(
    common::Offset(1), platform::kMaxRecordBytes, std::numeric_limits<std::size_t>::max());
  frames.Feed(reply.body_);
  for (const platform::Record& record : frames.ExtractRecords()) {
    const config::AcceptResult result =
      config::Accept(*replay.state_, record.offset_, record.data_);
    if (result.nextState_) {
      replay.state_ = result.nextState_;
      ++replay.acceptedById_[result.record_.publishId_.Get()];
    }
  }
  return replay;
}

VersionMonitor::VersionMonitor(Fleet& aFleet)
  : fleet_(aFleet)
  , thread_([this] { Run(); })
{
}

VersionMonitor::~VersionMonitor()
{
  Stop();
}

std::vector<std::string> VersionMonitor::Stop()
{
  isStopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  return violations_;
}

void VersionMonitor::Run()
{
  while (!isStopping_) {
    for (const FleetInstance& instance : fleet_) {
      Sample(instance);
    }
    std::this_thread::sleep_for(kSampleInterval);
  }
}

void VersionMonitor::Sample(const FleetInstance& aInstance)
{
  const HttpReply reply = HttpGet(aInstance.Addresses().admin_, "/dump", { .timeout_ = 200ms });
  if (reply.status_ != kStatusOk) {
    return;
  }
  ++sampleCount_;
  const json config = reply.Json().at("config");
  const auto version = config.at("version").get<std::uint64_t>();
  if (!config.contains("document")) {
    return; // The daemon does not serve yet.
  }
  std::uint64_t& highest = highestVersions_[aInstance.Name()];
  if (version < highest) {
    violations_.push_back(aInstance.Name() + " went back from " + std::to_string(highest) + " to " +
                          std::to_string(version));
  }
  highest = std::max(highest, version);
  CheckConsistency(aInstance.Name(), config);
}

void VersionMonitor::CheckConsistency(const std::string& aInstance, const json& aConfig)
{
  const json& document = aConfig.at("document");
  const json& services = document.at("endpoints");
  const json& limits = document.at("limits");
  std::uint64_t expectedTimeout = 0;
  for (const auto& [name, route] : document.at("routes").items()) {
    const auto service = route.at("endpoints").get<std::string>();
    const auto timeout = route.at("timeout_ms").get<std::uint64_t>();
    const bool isResolved = services.contains(service) &&
                            limits.contains(services.at(service).at("limits").get<std::string>());
    if (!isResolved) {
      violations_.push_back(aInstance + ": route " + name + " refers to a missing resource");
    }
    if (expectedTimeout != 0 && timeout != expectedTimeout) {
      violations_.push_back(aInstance + ": mixes timeouts " + std::to_string(expectedTimeout) +
                            " and " + std::to_string(timeout));
    }
    expectedTimeout = timeout;
  }
  for (const auto& [name, value] : limits.items()) {
    if (value.at("slots").get<std::uint32_t>() == kRejectedSlots) {
      violations_.push_back(aInstance + ": has part of a refused record in " + name);
    }
  }
}

std::vector<FleetInstance*> RunningInstances(Fleet& aFleet)
{
  std::vector<FleetInstance*> running;
  for (FleetInstance& instance : aFleet) {
    if (instance.IsRunning()) {
      running.push_back(&instance);
    }
  }
  return running;
}

bool WaitUntilActive(const std::vector<FleetInstance*>& aInstances,
                     std::uint64_t aVersion,
                     std::chrono::milliseconds aTimeout)
{
  return WaitUntil(
    [&] {
      return std::all_of(aInstances.begin(), aInstances.end(), [&](const FleetInstance* aInstance) {
        return aInstance->Version() >= aVersion;
      });
    },
    aTimeout);
}

bool IsLogReader(const FleetInstance& aInstance)
{
  const json status = aInstance.Status();
  return !status.is_null() && status.value("reads_log", false);
}

FleetInstance& WaitForReader(Fleet& aFleet, const std::string& aRegion)
{
  FleetInstance* reader = nullptr;
  const bool isFound = WaitUntil([&] {
    int readers = 0;
    for (FleetInstance* instance : aFleet.InRegion(aRegion)) {
      if (instance->IsRunning() && IsLogReader(*instance)) {
        reader = instance;
        ++readers;
      }
    }
    return readers == 1;
  });
  if (!isFound) {
    throw std::runtime_error("no single reader in region " + aRegion);
  }
  return *reader;
}

} // namespace dandelionstand::tests
