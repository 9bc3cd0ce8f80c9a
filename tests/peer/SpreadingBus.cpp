#include "SpreadingBus.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::tests {

namespace {

constexpr common::Duration kTickInterval = std::chrono::milliseconds(20);

} // namespace

void FakeLog::DropRecordsBelow(std::uint64_t aFirst)
{
  while (!records_.empty() && records_.front().offset_.Get() < aFirst) {
    records_.erase(records_.begin());
    ++droppedCount_;
  }
}

common::Offset FakeLog::FirstOffset() const
{
  return common::Offset(droppedCount_ + 1);
}

peer::Records FakeLog::RecordsFrom(common::Offset aOffset) const
{
  peer::Records result;
  std::copy_if(records_.begin(),
               records_.end(),
               std::back_inserter(result),
               [&](const platform::Record& aRecord) { return aRecord.offset_ >= aOffset; });
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
  daemon.member_.incarnation_ = common::Incarnation(++startCount_);
  daemon.member_.address_ = common::Address(aName);
  daemon.member_.failureDomain_ = common::FailureDomain(aDomain);
  daemon.member_.region_ = common::Region(aRegion);
  daemon.spreading_ = std::make_unique<peer::Spreading>(
    daemon.member_, settings_, now_, std::mt19937_64(seed_ + startCount_));
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
    Handle(name, peer::MembersUpdated{ members, members.size() > 1 });
  }
}

void SpreadingBus::RunFor(common::Duration aDuration)
{
  RunUntil([] { return false; }, aDuration);
}

bool SpreadingBus::RunUntil(const std::function<bool()>& aCondition, common::Duration aMaxDuration)
{
  const common::TimePoint end = now_ + aMaxDuration;
  while (now_ < end) {
    if (aCondition()) {
      return true;
    }
    now_ += kTickInterval;
    for (auto& delivery : bus_.PopArrived(now_)) {
      const std::string to = delivery.destination_.Get();
      if (paused_.count(to) > 0) {
        bus_.Send(std::move(delivery), now_);
      } else if (daemons_.count(to) > 0) {
        Handle(to,
               peer::SpreadingMessageReceived{ common::InstanceId(delivery.source_.Get()),
                                               delivery.source_,
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
  return aCondition();
}

void SpreadingBus::Handle(const std::string& aName, const peer::SpreadingEvent& aEvent)
{
  Perform(aName, SpreadingOf(aName).Handle(aEvent, now_));
  const Daemon& daemon = daemons_.at(aName);
  if (!SpreadingOf(aName).MayServe(now_).mayServe_) {
    return;
  }
  std::uint64_t& highestServed = highestServed_[aName];
  if (daemon.appliedOffset_ < highestServed) {
    faults_.push_back(aName + " serves " + std::to_string(daemon.appliedOffset_) + " after " +
                      std::to_string(highestServed));
  }
  highestServed = std::max(highestServed, daemon.appliedOffset_);
}

std::vector<std::string> SpreadingBus::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    names.push_back(name);
  }
  return names;
}

bool SpreadingBus::AllHaveApplied(common::Offset aPosition)
{
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& aEntry) {
    return aEntry.second.appliedOffset_ == aPosition.Get();
  });
}

bool SpreadingBus::AllServe()
{
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& aEntry) {
    return aEntry.second.spreading_->MayServe(now_).mayServe_;
  });
}

std::size_t SpreadingBus::ReaderCount()
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
  return peer::HeadAndStandby(members, common::Region(aRegion)).front().instance_.Get();
}

void SpreadingBus::Perform(const std::string& aName, const peer::SpreadingActions& aActions)
{
  Daemon& daemon = daemons_.at(aName);
  for (const peer::SpreadingAction& action : aActions) {
    if (const auto* send = std::get_if<peer::SendSpreading>(&action)) {
      Send(aName, send->destination_, send->message_);
    } else if (const auto* snapshot = std::get_if<peer::SendSnapshot>(&action)) {
      peer::wire::SpreadingMessage message = snapshot->message_;
      message.mutable_snapshot()->set_through(daemon.appliedOffset_);
      Send(aName, snapshot->destination_, message);
    } else if (const auto* apply = std::get_if<peer::ApplyRecords>(&action)) {
      Apply(aName, apply->records_);
    } else if (const auto* restore = std::get_if<peer::ApplySnapshot>(&action)) {
      Restore(aName, *restore);
    } else if (std::holds_alternative<peer::SkipToOffset>(action)) {
      daemon.isComplete_ = false;
    } else if (const auto* read = std::get_if<peer::ReadLog>(&action)) {
      ++logReads_;
      daemon.read_ = std::make_unique<PendingRead>(
        PendingRead{ read->sequence_, read->fromOffset_, now_ + read->pollTimeout_ });
    }
  }
}

void SpreadingBus::Apply(const std::string& aName, const peer::Records& aRecords)
{
  Daemon& daemon = daemons_.at(aName);
  for (const platform::Record& record : aRecords) {
    const std::uint64_t offset = record.offset_.Get();
    if (daemon.isComplete_ && offset != daemon.appliedOffset_ + 1) {
      faults_.push_back(aName + " applies " + std::to_string(offset) + " after " +
                        std::to_string(daemon.appliedOffset_));
    }
    if (daemon.isComplete_) {
      daemon.appliedOffset_ = offset;
    }
  }
}

void SpreadingBus::Restore(const std::string& aName, const peer::ApplySnapshot& aSnapshot)
{
  Daemon& daemon = daemons_.at(aName);
  if (aSnapshot.lastOffset_.Get() < daemon.appliedOffset_) {
    faults_.push_back(aName + " restores an older snapshot");
  }
  daemon.appliedOffset_ = aSnapshot.lastOffset_.Get();
  daemon.isComplete_ = true;
  Handle(aName, peer::ReplicaUpdated{ aSnapshot.lastOffset_, false });
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
    const common::Offset firstOffset = daemon.read_->fromOffset_;
    const bool isReached = !isLogReachable_ || isLogReachable_(name);
    if (isReached) {
      result.firstOffset_ = log_.FirstOffset();
      result.endOffset_ = log_.NextOffset();
      const bool isGap = firstOffset < result.firstOffset_;
      result.status_ = isGap ? platform::LogStatus::kGap : platform::LogStatus::kOk;
      result.records_ = isGap ? peer::Records{} : log_.RecordsFrom(firstOffset);
      if (!isGap && result.records_.empty() && now_ < daemon.read_->deadline_) {
        continue;
      }
    }
    const std::uint64_t sequence = daemon.read_->sequence_;
    daemon.read_.reset();
    Handle(name, peer::LogReadCompleted{ sequence, std::move(result) });
  }
}

} // namespace dandelionstand::tests
