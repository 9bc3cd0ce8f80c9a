#include "SpreadingBus.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::tests {

namespace {

constexpr common::Duration kTick = std::chrono::milliseconds(20);

} // namespace

void FakeLog::DropBelow(std::uint64_t aFirst)
{
  while (!records_.empty() && records_.front().offset_.Get() < aFirst) {
    records_.erase(records_.begin());
    ++dropped_;
  }
}

common::Offset FakeLog::First() const
{
  return common::Offset(dropped_ + 1);
}

peer::Records FakeLog::From(common::Offset aFrom) const
{
  peer::Records result;
  std::copy_if(records_.begin(),
               records_.end(),
               std::back_inserter(result),
               [&](const platform::Record& aRecord) { return aRecord.offset_ >= aFrom; });
  return result;
}

SpreadingBus::SpreadingBus(std::uint64_t aSeed, peer::SpreadingSettings aSettings)
  : seed_(aSeed)
  , settings_(aSettings)
  , bus_(aSeed)
{
}

void SpreadingBus::Start(const std::string& aName,
                         const std::string& aDomain,
                         const std::string& aRegion)
{
  Daemon daemon;
  daemon.member_.instance_ = common::InstanceId(aName);
  daemon.member_.incarnation_ = common::Incarnation(++starts_);
  daemon.member_.address_ = common::Address(aName);
  daemon.member_.failureDomain_ = common::FailureDomain(aDomain);
  daemon.member_.region_ = common::Region(aRegion);
  daemon.spreading_ = std::make_unique<peer::Spreading>(
    daemon.member_, settings_, now_, std::mt19937_64(seed_ + starts_));
  daemons_[aName] = std::move(daemon);
}

void SpreadingBus::StartFleet(int aPerDomain)
{
  for (const char* region : { "r0", "r1", "r2" }) {
    for (const char* domain : { "d0", "d1" }) {
      for (int i = 0; i < aPerDomain; ++i) {
        const std::string domainName = std::string(region) + domain;
        Start(domainName + "i" + std::to_string(i), domainName, region);
      }
    }
  }
  UpdateMembers();
}

void SpreadingBus::Kill(const std::string& aName)
{
  daemons_.erase(aName);
  paused_.erase(aName);
}

void SpreadingBus::UpdateMembers()
{
  peer::Members members;
  for (const auto& [name, daemon] : daemons_) {
    members.push_back(daemon.member_);
  }
  for (const std::string& name : Names()) {
    Handle(name, peer::MembersKnown{ members, members.size() > 1 });
  }
}

void SpreadingBus::RunFor(common::Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool SpreadingBus::RunUntil(const std::function<bool()>& aIsTrue, common::Duration aMost)
{
  const common::TimePoint end = now_ + aMost;
  while (now_ < end) {
    if (aIsTrue()) {
      return true;
    }
    now_ += kTick;
    for (auto& delivery : bus_.Take(now_)) {
      const std::string to = delivery.to_.Get();
      if (paused_.count(to) > 0) {
        bus_.Send(std::move(delivery), now_);
      } else if (daemons_.count(to) > 0) {
        Handle(to,
               peer::SpreadingReceived{ common::InstanceId(delivery.from_.Get()),
                                        delivery.from_,
                                        std::move(delivery.message_) });
      }
    }
    AnswerReads();
    for (const std::string& name : Names()) {
      if (paused_.count(name) == 0) {
        Handle(name, peer::SpreadingTick{});
      }
    }
  }
  return aIsTrue();
}

void SpreadingBus::Handle(const std::string& aName, const peer::SpreadingEvent& aEvent)
{
  Perform(aName, At(aName).Handle(aEvent, now_));
  const Daemon& daemon = daemons_.at(aName);
  if (!At(aName).MayServe(now_).mayServe_) {
    return;
  }
  std::uint64_t& ever = everApplied_[aName];
  if (daemon.applied_ < ever) {
    faults_.push_back(aName + " serves " + std::to_string(daemon.applied_) + " after " +
                      std::to_string(ever));
  }
  ever = std::max(ever, daemon.applied_);
}

std::vector<std::string> SpreadingBus::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    names.push_back(name);
  }
  return names;
}

bool SpreadingBus::AllAt(common::Offset aPosition)
{
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& aEntry) {
    return aEntry.second.applied_ == aPosition.Get();
  });
}

bool SpreadingBus::AllServe()
{
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& aEntry) {
    return aEntry.second.spreading_->MayServe(now_).mayServe_;
  });
}

std::size_t SpreadingBus::Readers()
{
  return static_cast<std::size_t>(
    std::count_if(daemons_.begin(), daemons_.end(), [](const auto& aEntry) {
      return aEntry.second.spreading_->IsReader();
    }));
}

std::string SpreadingBus::HeadOf(const std::string& aRegion)
{
  peer::Members members;
  for (const auto& [name, daemon] : daemons_) {
    members.push_back(daemon.member_);
  }
  return peer::HeadAndSpare(members, common::Region(aRegion)).front().instance_.Get();
}

void SpreadingBus::Perform(const std::string& aName, const peer::SpreadingActions& aActions)
{
  Daemon& daemon = daemons_.at(aName);
  for (const peer::SpreadingAction& action : aActions) {
    if (const auto* send = std::get_if<peer::SendSpreading>(&action)) {
      Send(aName, send->to_, send->message_);
    } else if (const auto* snapshot = std::get_if<peer::SendSnapshot>(&action)) {
      peer::wire::SpreadingMessage message = snapshot->message_;
      message.mutable_snapshot()->set_through(daemon.applied_);
      Send(aName, snapshot->to_, message);
    } else if (const auto* apply = std::get_if<peer::ApplyRecords>(&action)) {
      Apply(aName, apply->records_);
    } else if (const auto* restore = std::get_if<peer::ApplySnapshot>(&action)) {
      Restore(aName, *restore);
    } else if (std::holds_alternative<peer::SkipTo>(action)) {
      daemon.isUsable_ = false;
    } else if (const auto* read = std::get_if<peer::ReadLog>(&action)) {
      ++logReads_;
      daemon.read_ = std::make_unique<PendingRead>(
        PendingRead{ read->sequence_, read->from_, now_ + read->wait_ });
    }
  }
}

void SpreadingBus::Apply(const std::string& aName, const peer::Records& aRecords)
{
  Daemon& daemon = daemons_.at(aName);
  for (const platform::Record& record : aRecords) {
    const std::uint64_t offset = record.offset_.Get();
    if (daemon.isUsable_ && offset != daemon.applied_ + 1) {
      faults_.push_back(aName + " applies " + std::to_string(offset) + " after " +
                        std::to_string(daemon.applied_));
    }
    if (daemon.isUsable_) {
      daemon.applied_ = offset;
    }
  }
}

void SpreadingBus::Restore(const std::string& aName, const peer::ApplySnapshot& aSnapshot)
{
  Daemon& daemon = daemons_.at(aName);
  if (aSnapshot.through_.Get() < daemon.applied_) {
    faults_.push_back(aName + " restores an older snapshot");
  }
  daemon.applied_ = aSnapshot.through_.Get();
  daemon.isUsable_ = true;
  Handle(aName, peer::ReplicaAt{ aSnapshot.through_, false });
}

void SpreadingBus::Send(const std::string& aName,
                        const common::Address& aTo,
                        const peer::wire::SpreadingMessage& aMessage)
{
  bytesSent_ += aMessage.ByteSizeLong();
  const auto receiver = daemons_.find(aTo.Get());
  if (receiver != daemons_.end() &&
      receiver->second.member_.region_ != daemons_.at(aName).member_.region_) {
    recordsAcrossRegions_ += static_cast<std::uint64_t>(aMessage.records_size());
  }
  bus_.Send({ common::Address(aName), aTo, aMessage }, now_);
}

void SpreadingBus::AnswerReads()
{
  for (const std::string& name : Names()) {
    Daemon& daemon = daemons_.at(name);
    if (!daemon.read_ || paused_.count(name) > 0) {
      continue;
    }
    platform::ReadResult result;
    const common::Offset from = daemon.read_->from_;
    const bool isReached = !reach_ || reach_(name);
    if (isReached) {
      result.firstOffset_ = log_.First();
      result.endOffset_ = log_.Next();
      const bool isGap = from < result.firstOffset_;
      result.status_ = isGap ? platform::LogStatus::kGap : platform::LogStatus::kOk;
      result.records_ = isGap ? peer::Records{} : log_.From(from);
      if (!isGap && result.records_.empty() && now_ < daemon.read_->until_) {
        continue;
      }
    }
    const std::uint64_t sequence = daemon.read_->sequence_;
    daemon.read_.reset();
    Handle(name, peer::LogRead{ sequence, std::move(result) });
  }
}

} // namespace dandelionstand::tests
