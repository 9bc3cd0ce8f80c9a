#include "dandelionstand/platform/EndpointServer.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/EndpointReport.h"

#include <event2/http.h>

#include <string>
#include <string_view>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr const char* kJson = "application/json";
constexpr std::string_view kInstances = "/dandelionstand/instances/";
constexpr std::string_view kHeartbeat = "/heartbeat";
constexpr std::string_view kLeave = "/leave";

//! The id in a path of a report of this kind; empty if the path is another one.
std::string IdIn(std::string_view aPath, std::string_view aKind)
{
  const bool isReport = aPath.starts_with(kInstances) && aPath.ends_with(aKind) &&
                        aPath.size() > kInstances.size() + aKind.size();
  if (!isReport) {
    return "";
  }
  aPath.remove_prefix(kInstances.size());
  aPath.remove_suffix(aKind.size());
  return aPath.find('/') == std::string_view::npos ? std::string(aPath) : "";
}

} // namespace

EndpointServer::EndpointServer(common::EventLoop& aLoop,
                               common::Counters& aCounters,
                               const common::Address& aListen,
                               OnAnnouncement aOnAnnouncement)
  : counters_(aCounters)
  , onAnnouncement_(std::move(aOnAnnouncement))
  , server_(aLoop, aListen)
{
  server_.HandleUnmatched([this](evhttp_request* aRequest) { OnRequest(aRequest); });
}

void EndpointServer::OnRequest(evhttp_request* aRequest)
{
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(aRequest));
  const std::string_view text = path == nullptr ? "" : path;
  const std::string body = common::BodyOf(aRequest);
  if (const std::string leaving = IdIn(text, kLeave); !leaving.empty()) {
    onAnnouncement_(DecodeLeave(leaving, body));
    common::SendReply(aRequest, kOk, kJson, "{}");
    return;
  }
  const std::string id = IdIn(text, kHeartbeat);
  if (id.empty()) {
    common::SendReply(aRequest, kNotFound, kJson, "{}");
    return;
  }
  common::Findings findings;
  if (const auto news = DecodeHeartbeat(id, body, findings)) {
    onAnnouncement_(*news);
    common::SendReply(aRequest, kOk, kJson, "{}");
    return;
  }
  counters_.Add("target_reports_malformed_total");
  common::LogEvent(common::Severity::kWarn,
                   "target_report_malformed",
                   { { "start", id }, { "findings", findings.ToString() } });
  common::SendReply(aRequest, kBadRequest, kJson, "{}");
}

} // namespace dandelionstand::platform
