#include "dandelionstand/daemon/Settings.h"

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/JsonReader.h"

#include <set>

namespace dandelionstand::daemon {

namespace {

using common::JsonReader;
using common::Range;

constexpr std::uint64_t kKiB = 1024;
constexpr std::uint64_t kMiB = 1024 * kKiB;
constexpr Range kBodyBytes{ 1, 64 * kMiB };
constexpr Range kHeaderBytes{ kKiB, 256 * kKiB };
constexpr Range kBodyMemoryBytes{ kMiB, 256 * kMiB };
constexpr Range kHeartbeatMs{ 50, 60'000 };
constexpr Range kSilentIntervals{ 2, 20 };
constexpr Range kIdleCloseMs{ 1'000, 3'600'000 };
constexpr Range kLogTimeoutMs{ 50, 60'000 };
constexpr Range kDrainLimitMs{ 0, 600'000 };
constexpr double kMinLinkMegabits = 0.1;
constexpr double kMaxLinkMegabits = 1e6;
//! In cores.
constexpr double kMinCpuShare = 0.001;
constexpr double kMaxCpuShare = 1024;

common::Duration Milliseconds(std::uint64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

void CheckAddress(JsonReader& aReader, const std::string& aKey, const std::string& aText)
{
  common::HostAndPort ignored;
  if (!aText.empty() && !common::ParseAddress(aText, ignored)) {
    aReader.AddFinding(aKey, "must be an IP address and a port, like 127.0.0.1:7000");
  }
}

common::Address RequiredAddress(JsonReader& aReader, const std::string& aKey)
{
  const std::string text = aReader.RequiredString(aKey);
  CheckAddress(aReader, aKey, text);
  return common::Address(text);
}

CallersSettings ReadCallers(JsonReader aReader)
{
  CallersSettings callers;
  callers.listen_ = RequiredAddress(aReader, "listen");
  callers.maxBodyBytes_ = aReader.Number("max_body_bytes", kMiB, kBodyBytes);
  callers.maxHeaderBytes_ = aReader.Number("max_header_bytes", 16 * kKiB, kHeaderBytes);
  callers.bodyMemoryBytes_ = aReader.Number("body_memory_bytes", 16 * kMiB, kBodyMemoryBytes);
  aReader.RejectUnknownKeys();
  return callers;
}

std::vector<common::Address> ReadSeeds(JsonReader& aReader)
{
  std::vector<common::Address> seeds;
  std::set<std::string> seen;
  for (const std::string& seed : aReader.Strings("seeds")) {
    const std::string key = "seeds/" + std::to_string(seeds.size());
    CheckAddress(aReader, key, seed);
    if (!seen.insert(seed).second) {
      aReader.AddFinding(key, "address is given twice");
    }
    seeds.emplace_back(seed);
  }
  return seeds;
}

PeersSettings ReadPeers(JsonReader aReader)
{
  PeersSettings peers;
  peers.listen_ = RequiredAddress(aReader, "listen");
  const std::string advertise = aReader.String("advertise", peers.listen_.Get());
  CheckAddress(aReader, "advertise", advertise);
  peers.advertise_ = common::Address(advertise);
  peers.sourceAddress_ = aReader.String("source_address", "");
  if (!peers.sourceAddress_.empty()) {
    common::HostAndPort ignored;
    if (!common::ParseAddress(peers.sourceAddress_ + ":0", ignored)) {
      aReader.AddFinding("source_address", "must be an IP address");
    }
  }
  peers.seeds_ = ReadSeeds(aReader);
  peers.heartbeat_ = Milliseconds(aReader.Number("heartbeat_ms", 1'000, kHeartbeatMs));
  peers.silentIntervals_ =
    static_cast<std::uint32_t>(aReader.Number("silent_intervals", 3, kSilentIntervals));
  peers.idleClose_ = Milliseconds(aReader.Number("idle_close_ms", 30'000, kIdleCloseMs));
  aReader.RejectUnknownKeys();
  return peers;
}

LogSettings ReadLog(JsonReader aReader)
{
  LogSettings log;
  log.address_ = RequiredAddress(aReader, "address");
  log.timeout_ = Milliseconds(aReader.Number("timeout_ms", 5'000, kLogTimeoutMs));
  aReader.RejectUnknownKeys();
  return log;
}

PlatformSettings ReadPlatform(JsonReader aReader, common::Findings& aFindings)
{
  PlatformSettings platform;
  platform.service_ = common::ServiceName(aReader.RequiredString("service"));
  platform.controlListen_ = RequiredAddress(aReader, "control_listen");
  platform.readinessListen_ = RequiredAddress(aReader, "readiness_listen");
  platform.seeds_ = ReadSeeds(aReader);
  platform.bounds_ = platform::ParseBounds(aReader.Strings("bounds"), aFindings);
  aReader.RejectUnknownKeys();
  return platform;
}

} // namespace

Settings ParseSettings(const std::string& aText,
                       const std::string& aSource,
                       common::Findings& aFindings)
{
  Settings settings;
  const common::LocatedJson document = common::ParseLocatedJson(aText, aSource, aFindings);
  if (document.value_.is_null() && !aFindings.IsEmpty()) {
    return settings;
  }
  JsonReader reader(document, "", aFindings);
  settings.instance_ = common::InstanceId(reader.RequiredString("instance"));
  settings.failureDomain_ = common::FailureDomain(reader.RequiredString("failure_domain"));
  settings.region_ = common::Region(reader.RequiredString("region"));
  settings.callers_ = ReadCallers(reader.Object("callers"));
  JsonReader admin = reader.Object("admin");
  settings.adminListen_ = RequiredAddress(admin, "listen");
  admin.RejectUnknownKeys();
  settings.peers_ = ReadPeers(reader.Object("peers"));
  settings.log_ = ReadLog(reader.Object("log"));
  settings.spreading_ = reader.Choice("spreading", { "tree", "direct", "gossip" }, "tree");
  settings.profile_ = reader.Choice("profile", { "time", "bytes" }, "time");
  settings.linkMegabitsPerSecond_ =
    reader.OptionalDecimal("link_mbit_per_s", kMinLinkMegabits, kMaxLinkMegabits);
  settings.cpuShare_ = reader.OptionalDecimal("cpu_share", kMinCpuShare, kMaxCpuShare);
  settings.drainLimit_ = Milliseconds(reader.Number("drain_limit_ms", 30'000, kDrainLimitMs));
  common::ParseSeverity(reader.Choice("log_level", { "debug", "info", "warn", "error" }, "info"),
                        settings.logLevel_);
  if (reader.Has("platform")) {
    settings.platform_ = ReadPlatform(reader.Object("platform"), aFindings);
  }
  reader.RejectUnknownKeys();
  return settings;
}

} // namespace dandelionstand::daemon
