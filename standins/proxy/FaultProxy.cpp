#include "standins/proxy/FaultProxy.h"

#include "standins/ControlReader.h"
#include "standins/proxy/Forwarder.h"

#include <chrono>
#include <stdexcept>

namespace dandelionstand::standins {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

//! One entry of a control request.
struct RuleChange
{
  BorderId border_;
  BorderRule rule_;
  bool freezesConnections_ = false;
};

RuleChange ReadChange(const nlohmann::json& aObject, Borders& aBorders)
{
  ControlReader reader(aObject);
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  reader.Read("from", from);
  reader.Read("to", to);
  RuleChange change;
  change.border_ = { DomainNumber(static_cast<unsigned>(from)),
                     DomainNumber(static_cast<unsigned>(to)) };
  change.rule_ = aBorders.At(change.border_).rule_;
  std::uint64_t delay = static_cast<std::uint64_t>(change.rule_.delay_.count());
  reader.Read("cut", change.rule_.isCut_);
  reader.Read("drop", change.rule_.isDropped_);
  reader.Read("freeze", change.freezesConnections_);
  reader.Read("delay_us", delay);
  reader.Read("bytes_per_second", change.rule_.bytesPerSecond_);
  reader.RejectUnknownKeys();
  change.rule_.delay_ = std::chrono::microseconds(delay);
  return change;
}

std::vector<RuleChange> ReadChanges(const std::string& aText, Borders& aBorders)
{
  const nlohmann::json list = nlohmann::json::parse(aText, nullptr, false);
  if (!list.is_array()) {
    throw std::invalid_argument("expected a JSON array of rules");
  }
  std::vector<RuleChange> changes;
  for (const nlohmann::json& object : list) {
    changes.push_back(ReadChange(object, aBorders));
  }
  return changes;
}

} // namespace

FaultProxy::FaultProxy(common::EventLoop& aLoop, const common::Address& aControl)
  : loop_(aLoop)
  , control_(aLoop, aControl, [this](const ServerRequest& aRequest) { OnRequest(aRequest); })
{
}

FaultProxy::~FaultProxy() = default;

common::Address FaultProxy::AddForward(const common::Address& aListen,
                                       const common::Address& aForward)
{
  forwarders_.push_back(std::make_unique<Forwarder>(
    loop_, aListen, aForward, [this](const AcceptedConnection& aAccepted) { Accept(aAccepted); }));
  return forwarders_.back()->ListeningAddress();
}

void FaultProxy::Accept(const AcceptedConnection& aAccepted)
{
  connections_.push_back(std::make_unique<ProxiedConnection>(
    loop_, borders_, aAccepted, [this]() { ScheduleCleanup(); }));
}

void FaultProxy::ScheduleCleanup()
{
  if (!cleanupTimer_) {
    cleanupTimer_ = loop_.After({}, [this]() { RemoveClosedConnections(); });
  }
}

void FaultProxy::RemoveClosedConnections()
{
  cleanupTimer_.reset();
  std::erase_if(connections_, [](const auto& aConnection) { return aConnection->IsClosed(); });
}

void FaultProxy::OnRequest(const ServerRequest& aRequest)
{
  if (aRequest.path_ == "/control" && aRequest.method_ == "POST") {
    OnControl(aRequest);
  } else if (aRequest.path_ == "/counts") {
    SendCounts(aRequest);
  } else {
    SendText(*aRequest.responder_, kNotFound, "no such path");
  }
}

void FaultProxy::OnControl(const ServerRequest& aRequest)
{
  try {
    const std::vector<RuleChange> changes = ReadChanges(aRequest.body_, borders_);
    for (const RuleChange& change : changes) {
      borders_.At(change.border_).rule_ = change.rule_;
    }
    for (const RuleChange& change : changes) {
      if (change.freezesConnections_) {
        Freeze(change.border_);
      }
    }
  } catch (const std::invalid_argument& error) {
    SendText(*aRequest.responder_, kBadRequest, error.what());
    return;
  }
  ApplyRules();
  SendJson(*aRequest.responder_, nlohmann::json::object());
}

void FaultProxy::ApplyRules()
{
  for (const auto& connection : connections_) {
    connection->OnRulesChanged();
  }
}

void FaultProxy::Freeze(BorderId aBorder)
{
  for (const auto& connection : connections_) {
    if (connection->GetBorderId() == aBorder) {
      connection->Freeze();
    }
  }
}

void FaultProxy::FreezeAll()
{
  for (const auto& connection : connections_) {
    connection->Freeze();
  }
}

void FaultProxy::SendCounts(const ServerRequest& aRequest)
{
  nlohmann::json counts = nlohmann::json::array();
  for (const auto& [id, border] : borders_.All()) {
    counts.push_back({ { "from", id.from_.Get() },
                       { "to", id.to_.Get() },
                       { "bytes", border.bytes_ },
                       { "connections", border.connections_ } });
  }
  SendJson(*aRequest.responder_, counts);
}

} // namespace dandelionstand::standins
