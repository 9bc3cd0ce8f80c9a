#include "dandelionstand/caller/CallerServer.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/EndpointDirectory.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sigc++/functors/mem_fun.h>
#include <xxhash.h>

#include <array>
#include <string_view>
#include <strings.h>
#include <utility>
#include <vector>

namespace dandelionstand::caller {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kNotFound = 404;

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
  "connection",          "keep-alive", "proxy-authenticate",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "host",
};

bool IsHopByHop(const char* aName)
{
  for (const std::string_view name : kHopByHopHeaders) {
    if (strcasecmp(aName, name.data()) == 0) {
      return true;
    }
  }
  return false;
}

std::string MethodName(evhttp_cmd_type aMethod)
{
  switch (aMethod) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

const char* RunText(peer::wire::RunState aState)
{
  switch (aState) {
    case peer::wire::NOT_RUN:
      return "not-run";
    case peer::wire::RUN:
      return "run";
    default:
      return "unknown";
  }
}

void CopyHeaders(evhttp_request* aRequest, peer::wire::CallStart& aStart)
{
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (!IsHopByHop(header->key)) {
      peer::wire::Header& added = *aStart.add_headers();
      added.set_name(header->key);
      added.set_value(header->value);
    }
  }
}

} // namespace

//! A request from a caller that waits for its answer.
struct CallerServer::Call
{
  CallerServer* server_ = nullptr;
  std::uint64_t requestId_ = 0;
  evhttp_request* request_ = nullptr;
  peer::PeerRef endpoint_;
  std::unique_ptr<common::Watch> timeout_;
  bool hasHead_ = false;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t length_ = 0;
  XXH3_state_t* hash_ = XXH3_createState();

  Call() { XXH3_64bits_reset(hash_); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call()
  {
    XXH3_freeState(hash_);
    evhttp_connection* connection =
      request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
    if (connection != nullptr) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
  }

  //! Ends a begun answer so that the caller sees that it is not whole.
  void Abort()
  {
    evhttp_connection* connection = evhttp_request_get_connection(request_);
    request_ = nullptr;
    if (connection != nullptr) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      evhttp_connection_free(connection);
    }
  }
};

CallerServer::CallerServer(common::EventLoop& aLoop,
                           common::Counters& aCounters,
                           peer::Transport& aTransport,
                           const peer::EndpointDirectory& aDirectory,
                           ConfigSource aConfig,
                           const CallerServerSettings& aSettings)
  : loop_(aLoop)
  , counters_(aCounters)
  , transport_(aTransport)
  , directory_(aDirectory)
  , config_(std::move(aConfig))
  , server_(aLoop, aSettings.listen_)
  , random_(aSettings.seed_)
{
  evhttp_set_max_body_size(server_.Get(), static_cast<ev_ssize_t>(aSettings.maxBodyBytes_));
  evhttp_set_max_headers_size(server_.Get(), static_cast<ev_ssize_t>(aSettings.maxHeaderBytes_));
  evhttp_set_allowed_methods(server_.Get(),
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  server_.HandleRest([this](evhttp_request* aRequest) { OnRequest(aRequest); });
  transport_.Received().connect(sigc::mem_fun(*this, &CallerServer::OnEnvelope));
}

CallerServer::~CallerServer() = default;

void CallerServer::OnRequest(evhttp_request* aRequest)
{
  counters_.Add("caller_requests_total");
  const config::ConfigStatePtr config = config_();
  if (isDraining_) {
    Refuse(aRequest, kUnavailable, "draining", "not-run");
    return;
  }
  if (!config) {
    Refuse(aRequest, kUnavailable, "no-configuration", "not-run");
    return;
  }
  const std::string method = MethodName(evhttp_request_get_command(aRequest));
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(aRequest));
  const auto* route = config->Match(method, path == nullptr ? "" : path);
  if (route == nullptr) {
    Refuse(aRequest, kNotFound, "no-route", "not-run");
    return;
  }
  StartCall(aRequest, method, *config, *route);
}

void CallerServer::StartCall(
  evhttp_request* aRequest,
  const std::string& aMethod,
  const config::ConfigState& aConfig,
  const std::pair<const config::RouteName, config::Versioned<config::Route>>& aRoute)
{
  const config::Route& route = aRoute.second.value_;
  const std::vector<peer::Endpoint> endpoints = directory_.EndpointsOf(route.endpoints_);
  if (endpoints.empty()) {
    Refuse(aRequest, kUnavailable, "no-endpoint", "not-run");
    return;
  }
  const peer::Endpoint& endpoint = endpoints[random_() % endpoints.size()];
  auto call = std::make_unique<Call>();
  call->server_ = this;
  call->requestId_ = ++lastRequestId_;
  call->request_ = aRequest;
  call->endpoint_.address_ = endpoint.address_;
  const std::uint64_t requestId = call->requestId_;
  call->timeout_ = loop_.After(route.timeout_, [this, requestId] { OnTimeout(requestId); });
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(aRequest),
    [](evhttp_connection*, void* aCall) { OnCallerGone(nullptr, aCall); },
    call.get());

  peer::wire::Envelope envelope;
  peer::wire::CallStart& start = *envelope.mutable_call_start();
  start.set_request_id(requestId);
  start.set_attempt(1);
  start.set_target_incarnation(endpoint.incarnation_.Get());
  start.set_service(route.endpoints_.Get());
  start.set_route(aRoute.first.Get());
  start.set_config_version(aConfig.version_.Get());
  start.set_idempotency(static_cast<peer::wire::Idempotency>(route.idempotency_));
  start.set_traffic_class(static_cast<peer::wire::TrafficClass>(route.trafficClass_));
  start.set_time_left_ms(static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout_).count()));
  start.set_method(aMethod);
  start.set_path(evhttp_request_get_uri(aRequest));
  CopyHeaders(aRequest, start);
  start.set_body(common::BodyOf(aRequest));
  const bool isSent = transport_.Send(call->endpoint_, envelope);
  if (!isSent) {
    call.reset();
    Refuse(aRequest, kUnavailable, "link-full", "not-run");
    return;
  }
  calls_[requestId] = std::move(call);
}

CallerServer::Call* CallerServer::Find(std::uint64_t aRequestId)
{
  const auto found = calls_.find(aRequestId);
  if (found == calls_.end()) {
    counters_.Add("caller_answers_unmatched_total");
    return nullptr;
  }
  return found->second.get();
}

void CallerServer::OnEnvelope(const peer::PeerRef&, const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_answer_head()) {
    OnHead(aEnvelope.answer_head());
  } else if (aEnvelope.has_answer_body()) {
    OnBody(aEnvelope.answer_body());
  } else if (aEnvelope.has_answer_end()) {
    OnEnd(aEnvelope.answer_end());
  } else if (aEnvelope.has_answer_failed()) {
    OnFailed(aEnvelope.answer_failed());
  }
}

void CallerServer::OnHead(const peer::wire::AnswerHead& aHead)
{
  Call* call = Find(aHead.request_id());
  if (call == nullptr || call->hasHead_) {
    return;
  }
  call->hasHead_ = true;
  evkeyvalq* headers = evhttp_request_get_output_headers(call->request_);
  for (const peer::wire::Header& header : aHead.headers()) {
    if (!IsHopByHop(header.name().c_str())) {
      evhttp_add_header(headers, header.name().c_str(), header.value().c_str());
    }
  }
  evhttp_send_reply_start(call->request_, static_cast<int>(aHead.status()), nullptr);
}

void CallerServer::OnBody(const peer::wire::AnswerBody& aBody)
{
  Call* call = Find(aBody.request_id());
  if (call == nullptr || !call->hasHead_ || aBody.sequence() != call->nextSequence_) {
    return;
  }
  ++call->nextSequence_;
  call->length_ += aBody.data().size();
  XXH3_64bits_update(call->hash_, aBody.data().data(), aBody.data().size());
  evbuffer* data = evbuffer_new();
  evbuffer_add(data, aBody.data().data(), aBody.data().size());
  evhttp_send_reply_chunk(call->request_, data);
  evbuffer_free(data);
}

void CallerServer::OnEnd(const peer::wire::AnswerEnd& aEnd)
{
  Call* call = Find(aEnd.request_id());
  if (call == nullptr) {
    return;
  }
  const bool isWhole = call->hasHead_ && call->length_ == aEnd.length() &&
                       XXH3_64bits_digest(call->hash_) == aEnd.checksum();
  if (isWhole) {
    counters_.Add("caller_outcomes_total{outcome=\"answered\"}");
    evhttp_request* request = call->request_;
    calls_.erase(aEnd.request_id());
    evhttp_send_reply_end(request);
    return;
  }
  counters_.Add("caller_answers_incomplete_total");
  call->Abort();
  calls_.erase(aEnd.request_id());
}

void CallerServer::OnFailed(const peer::wire::AnswerFailed& aFailed)
{
  Call* call = Find(aFailed.request_id());
  if (call == nullptr) {
    return;
  }
  if (call->hasHead_) {
    call->Abort();
  } else {
    evhttp_request* request = call->request_;
    const bool isNotRun = aFailed.run_state() == peer::wire::NOT_RUN;
    calls_.erase(aFailed.request_id());
    Refuse(request,
           isNotRun ? kUnavailable : kBadGateway,
           aFailed.reason().c_str(),
           RunText(aFailed.run_state()));
  }
  calls_.erase(aFailed.request_id());
}

void CallerServer::OnTimeout(std::uint64_t aRequestId)
{
  Call* call = Find(aRequestId);
  if (call == nullptr) {
    return;
  }
  evhttp_request* request = call->request_;
  if (call->hasHead_) {
    call->Abort();
    calls_.erase(aRequestId);
    return;
  }
  calls_.erase(aRequestId);
  Refuse(request, kGatewayTimeout, "timeout", "unknown");
}

void CallerServer::OnCallerGone(evhttp_request*, void* aCall)
{
  auto* call = static_cast<Call*>(aCall);
  CallerServer* server = call->server_;
  server->counters_.Add("caller_disconnects_total");
  peer::wire::Envelope envelope;
  envelope.mutable_call_cancel()->set_request_id(call->requestId_);
  envelope.mutable_call_cancel()->set_attempt(1);
  server->transport_.Send(call->endpoint_, envelope);
  call->request_ = nullptr;
  server->calls_.erase(call->requestId_);
}

void CallerServer::Refuse(evhttp_request* aRequest,
                          int aStatus,
                          const char* aReason,
                          const char* aRun)
{
  counters_.Add(std::string("caller_outcomes_total{outcome=\"") + aRun + "\"}");
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  evhttp_add_header(headers, "Dandelion-Reason", aReason);
  evhttp_add_header(headers, "Dandelion-Run", aRun);
  common::SendReply(aRequest, aStatus, "text/plain", std::string(aReason) + "\n");
}

} // namespace dandelionstand::caller
