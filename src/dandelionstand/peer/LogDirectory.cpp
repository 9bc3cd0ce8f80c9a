#include "dandelionstand/peer/LogDirectory.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/platform/Log.h"

#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

const platform::StreamName kMembersStream("members");
constexpr common::Duration kRefreshInterval = 10s;
constexpr common::Duration kForgetAfter = 30s;
constexpr common::Duration kReadWait = 10s;
constexpr common::Duration kRetryDelay = 500ms;

} // namespace

LogDirectory::LogDirectory(common::EventLoop& aLoop, platform::Log& aLog, wire::Member aSelf)
  : loop_(aLoop)
  , log_(aLog)
  , self_(std::move(aSelf))
{
  refresh_ = loop_.Every(kRefreshInterval, [this] { AppendSelf(); });
  AppendSelf();
  ReadNext();
}

LogDirectory::~LogDirectory() = default;

std::vector<Endpoint> LogDirectory::EndpointsOf(const common::ServiceName& aService) const
{
  std::vector<Endpoint> endpoints;
  const common::TimePoint now = common::Now();
  for (const auto& [instance, entry] : entries_) {
    const wire::Member& member = entry.member_;
    const bool isReady = member.state() == wire::ALIVE && member.service() == aService.Get();
    if (isReady && now - entry.heard_ < kForgetAfter) {
      endpoints.push_back({ instance,
                            common::Incarnation(member.incarnation()),
                            common::Address(member.address()),
                            common::FailureDomain(member.failure_domain()),
                            common::Region(member.region()) });
    }
  }
  return endpoints;
}

void LogDirectory::Announce(const common::ServiceName& aService)
{
  if (self_.service() == aService.Get()) {
    return;
  }
  self_.set_service(aService.Get());
  self_.set_revision(self_.revision() + 1);
  AppendSelf();
}

void LogDirectory::Leave()
{
  self_.set_state(wire::LEAVING);
  self_.set_revision(self_.revision() + 1);
  AppendSelf();
}

void LogDirectory::AppendSelf()
{
  wire::JoinRecord record;
  *record.mutable_member() = self_;
  log_.Append(kMembersStream, record.SerializeAsString(), [](const platform::AppendResult&) {});
}

void LogDirectory::ReadNext()
{
  log_.Read(kMembersStream, next_, kReadWait, [this](const platform::ReadResult& aResult) {
    OnRead(aResult);
  });
}

void LogDirectory::OnRead(const platform::ReadResult& aResult)
{
  if (aResult.status_ == platform::LogStatus::kGap) {
    next_ = aResult.first_;
  }
  for (const platform::Record& record : aResult.records_) {
    wire::JoinRecord join;
    if (join.ParseFromString(record.data_)) {
      Take(join.member());
    }
    next_ = common::Offset(record.offset_.Get() + 1);
  }
  const bool isUnavailable = aResult.status_ != platform::LogStatus::kOk;
  again_ = loop_.After(isUnavailable ? kRetryDelay : common::Duration(0), [this] { ReadNext(); });
}

void LogDirectory::Take(const wire::Member& aMember)
{
  Entry& entry = entries_[common::InstanceId(aMember.instance())];
  const bool isOlder = aMember.incarnation() < entry.member_.incarnation();
  if (!isOlder) {
    entry.member_ = aMember;
    entry.heard_ = common::Now();
  }
}

} // namespace dandelionstand::peer
