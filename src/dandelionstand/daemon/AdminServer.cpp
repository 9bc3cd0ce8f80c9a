#include "dandelionstand/daemon/AdminServer.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/JsonReader.h"

#include <utility>

namespace dandelionstand::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain";

void SendJson(evhttp_request* aRequest, const nlohmann::json& aValue)
{
  common::SendReply(aRequest, kOk, kJson, aValue.dump(2) + "\n");
}

} // namespace

AdminServer::AdminServer(common::EventLoop& aLoop,
                         const common::Counters& aCounters,
                         const common::Address& aListen)
  : counters_(aCounters)
  , server_(aLoop, aListen)
{
  server_.Handle("/metrics", [this](evhttp_request* aRequest) {
    if (gaugeUpdater_) {
      gaugeUpdater_();
    }
    common::SendReply(aRequest, kOk, kText, counters_.ToText());
  });
  server_.Handle("/dump", [this](evhttp_request* aRequest) { OnDump(aRequest); });
  server_.Handle("/status", [this](evhttp_request* aRequest) {
    SendJson(aRequest, statusProvider_ ? statusProvider_() : nlohmann::json::object());
  });
  server_.Handle("/log-level", [this](evhttp_request* aRequest) { OnLogLevel(aRequest); });
  server_.Handle("/target/announce", [this](evhttp_request* aRequest) { OnAnnounce(aRequest); });
  server_.Handle("/target/leaving", [this](evhttp_request* aRequest) {
    targetLeaving_.emit();
    SendJson(aRequest, { { "leaving", true } });
  });
  server_.HandleUnmatched([](evhttp_request* aRequest) {
    common::SendReply(aRequest, kNotFound, kText, "unknown path\n");
  });
}

void AdminServer::AddDumpSection(const std::string& aName, JsonProvider aProvider)
{
  dumpSections_[aName] = std::move(aProvider);
}

void AdminServer::OnDump(evhttp_request* aRequest)
{
  nlohmann::json dump = nlohmann::json::object();
  for (const auto& [name, provider] : dumpSections_) {
    dump[name] = provider();
  }
  SendJson(aRequest, dump);
}

void AdminServer::OnLogLevel(evhttp_request* aRequest)
{
  common::Severity severity{};
  if (!common::ParseSeverity(common::BodyOf(aRequest), severity)) {
    common::SendReply(aRequest, kBadRequest, kText, "body must be debug, info, warn or error\n");
    return;
  }
  common::SetLogSeverity(severity);
  SendJson(aRequest, { { "log_level", common::BodyOf(aRequest) } });
}

void AdminServer::OnAnnounce(evhttp_request* aRequest)
{
  common::Findings findings;
  const common::LocatedJson document =
    common::ParseLocatedJson(common::BodyOf(aRequest), "announcement", findings);
  common::JsonReader reader(document, "", findings);
  const common::ServiceName service(reader.RequiredString("service"));
  const std::string address = reader.RequiredString("address");
  const bool isReady = reader.Bool("ready", true);
  reader.RejectUnknownKeys();
  common::HostAndPort ignored;
  if (findings.IsEmpty() && !common::ParseAddress(address, ignored)) {
    reader.AddFinding("address", "must be an IP address and a port");
  }
  if (!findings.IsEmpty()) {
    common::SendReply(aRequest, kBadRequest, kText, findings.ToString());
    return;
  }
  targetAnnounced_.emit(service, common::Address(isReady ? address : ""));
  SendJson(aRequest, { { "ready", isReady } });
}

} // namespace dandelionstand::daemon
