#include "dandelionstand/platform/TargetReportServer.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/TargetReport.h"

#include <event2/http.h>

#include <string>
#include <string_view>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kContentType = "application/json";
constexpr std::string_view kPathPrefix = "/dandelionstand/instances/";
constexpr std::string_view kHeartbeatSuffix = "/heartbeat";
constexpr std::string_view kLeaveSuffix = "/leave";

//! Extracts the target's id from the path of a report, which ends with aSuffix. Returns an empty
//! string for any other path.
std::string ParseId(std::string_view aPath, std::string_view aSuffix)
{
  const bool isReport = aPath.starts_with(kPathPrefix) && aPath.ends_with(aSuffix) &&
                        aPath.size() > kPathPrefix.size() + aSuffix.size();
  if (!isReport) {
    return "";
  }
  aPath.remove_prefix(kPathPrefix.size());
  aPath.remove_suffix(aSuffix.size());
  return aPath.find('/') == std::string_view::npos ? std::string(aPath) : "";
}

int StatusOf(TargetReportServer::Answer aAnswer)
{
  switch (aAnswer) {
    case TargetReportServer::Answer::kProcessed:
      return kOk;
    case TargetReportServer::Answer::kNotStored:
      return kUnavailable;
    case TargetReportServer::Answer::kRefused:
      return kBadRequest;
  }
  return kUnavailable;
}

//! evhttp stops reading from a connection until its request is answered, so the request stays valid
//! if the target disconnects before.
TargetReportServer::Reply ReplyTo(evhttp_request* aRequest)
{
  return [aRequest](TargetReportServer::Answer aAnswer) {
    common::SendReply(aRequest, StatusOf(aAnswer), kContentType, "{}");
  };
}

} // namespace

TargetReportServer::TargetReportServer(common::EventLoop& aLoop,
                                       common::Counters& aCounters,
                                       const common::Address& aListen,
                                       OnAnnouncement aOnAnnouncement)
  : counters_(aCounters)
  , onAnnouncement_(std::move(aOnAnnouncement))
  , server_(aLoop, aListen)
{
  server_.HandleUnmatched([this](evhttp_request* aRequest) { OnRequest(aRequest); });
}

void TargetReportServer::OnRequest(evhttp_request* aRequest)
{
  const char* rawPath = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(aRequest));
  const std::string_view path = rawPath == nullptr ? "" : rawPath;
  const std::string leavingId = ParseId(path, kLeaveSuffix);
  const std::string id = leavingId.empty() ? ParseId(path, kHeartbeatSuffix) : leavingId;
  if (id.empty()) {
    common::SendReply(aRequest, kNotFound, kContentType, "{}");
    return;
  }
  const std::string body = common::BodyOf(aRequest);
  common::Findings findings;
  CheckTargetId(id, findings);
  const auto announcement =
    leavingId.empty() ? DecodeHeartbeat(id, body, findings) : DecodeLeave(id, body);
  if (findings.IsEmpty()) {
    onAnnouncement_(*announcement, ReplyTo(aRequest));
    return;
  }
  counters_.Add("target_reports_malformed_total");
  common::LogEvent(common::Severity::kWarn,
                   "target_report_malformed",
                   { { "start", id }, { "findings", findings.ToString() } });
  common::SendReply(aRequest, kBadRequest, kContentType, "{}");
}

} // namespace dandelionstand::platform
