#include "DocumentFleet.h"

#include <algorithm>

namespace dandelionstand::tests {

namespace {

using namespace std::chrono_literals;

constexpr common::Duration kTickInterval = 10ms;
constexpr common::Duration kStoreRoundTrip = 30ms;
//! Time after which a poll without an answer fails, in addition to its wait.
constexpr common::Duration kPollTimeout = 1s;
constexpr int kRegions = 3;
constexpr int kDomains = 9;

} // namespace

DocumentFleet::DocumentFleet(std::size_t aDaemons, std::uint64_t aSeed)
  : bus_(aSeed)
{
  bus_.SetFaults({ .maxDelay_ = 15ms });
  for (std::size_t i = 0; i < aDaemons; ++i) {
    const std::string name = "i" + std::to_string(i);
    Daemon daemon;
    daemon.member_.instance_ = common::InstanceId(name);
    daemon.member_.address_ = common::Address(name);
    daemon.member_.failureDomain_ = common::FailureDomain("d" + std::to_string(i % kDomains));
    daemon.member_.region_ = common::Region("r" + std::to_string(i % kRegions));
    daemon.readers_ = std::make_unique<peer::DocumentReaders>(
      daemon.member_, peer::MakeDocumentReadersSettings(2s), now_, aSeed + i);
    daemons_.emplace(name, std::move(daemon));
  }
  // Each daemon reads the newest document when it starts.
  for (auto& [name, daemon] : daemons_) {
    ++storeCalls_;
    Activate(daemon, storeVersion_);
    daemon.nextOffset_ = common::Offset(storeVersion_.Get() + 1);
  }
  UpdateMembers();
}

void DocumentFleet::UpdateMembers()
{
  peer::Members members;
  for (const auto& [name, daemon] : daemons_) {
    members.push_back(daemon.member_);
  }
  for (auto& [name, daemon] : daemons_) {
    daemon.readers_->SetMembers(members);
  }
}

void DocumentFleet::RunFor(common::Duration aDuration)
{
  const common::TimePoint end = now_ + aDuration;
  while (now_ < end) {
    now_ += kTickInterval;
    for (auto& delivery : bus_.PopArrived(now_)) {
      const std::string name = delivery.destination_.Get();
      const auto found = daemons_.find(name);
      if (found == daemons_.end()) {
        continue;
      }
      if (paused_.contains(name)) {
        bus_.Send(std::move(delivery), now_);
      } else {
        Deliver(found->second, delivery.source_, delivery.message_);
      }
    }
    for (auto& [name, daemon] : daemons_) {
      if (paused_.contains(name) || cutFromStore_.contains(name)) {
        daemon.disturbedAt_ = now_;
      }
      if (!paused_.contains(name)) {
        Tick(daemon);
      }
    }
  }
}

void DocumentFleet::Publish()
{
  storeVersion_ = common::Version(storeVersion_.Get() + 1);
  publishedAt_ = now_;
}

void DocumentFleet::Kill(const std::string& aName)
{
  daemons_.erase(aName);
}

void DocumentFleet::CutFromPeers(const Names& aNames)
{
  bus_.SetPartition([aNames](const common::Address& aSource, const common::Address& aDestination) {
    return aNames.contains(aSource.Get()) || aNames.contains(aDestination.Get());
  });
}

std::vector<std::string> DocumentFleet::RankedReaders() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    if (daemon.readers_->IsRankedReader()) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> DocumentFleet::All() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    names.push_back(name);
  }
  return names;
}

void DocumentFleet::Deliver(Daemon& aDaemon, const common::Address& aFrom, const Message& aMessage)
{
  switch (aMessage.kind_) {
    case Message::Kind::kConfirmation:
      aDaemon.exchange_.OnConfirmedVersion(aFrom, aMessage.version_, now_);
      Send(aDaemon,
           aDaemon.readers_->OnConfirmation(
             { aMessage.version_, now_ - aMessage.age_, aMessage.nextOffset_ },
             aMessage.isRelay_,
             now_));
      break;
    case Message::Kind::kQuery:
      if (aDaemon.version_ > aMessage.version_) {
        bus_.Send(
          { aDaemon.member_.address_, aFrom, { Message::Kind::kDocument, aDaemon.version_ } },
          now_);
      }
      break;
    case Message::Kind::kDocument:
      Activate(aDaemon, aMessage.version_);
      break;
  }
}

void DocumentFleet::Send(const Daemon& aFrom,
                         const peer::DocumentReaders::Confirmations& aConfirmations)
{
  for (const peer::SendConfirmation& send : aConfirmations) {
    const peer::DocumentConfirmation& confirmation = send.confirmation_;
    bus_.Send({ aFrom.member_.address_,
                send.destination_,
                { Message::Kind::kConfirmation,
                  confirmation.version_,
                  now_ - confirmation.confirmedAt_,
                  confirmation.nextOffset_,
                  send.isRelay_ } },
              now_);
  }
}

void DocumentFleet::Activate(Daemon& aDaemon, common::Version aVersion)
{
  if (aVersion <= aDaemon.version_) {
    return;
  }
  aDaemon.version_ = aVersion;
  aDaemon.exchange_.OnLocalVersion(aVersion);
  Send(aDaemon, aDaemon.readers_->OnVersionActive(aVersion));
  hasRegressed_ = hasRegressed_ || aDaemon.version_ > storeVersion_;
}

void DocumentFleet::Tick(Daemon& aDaemon)
{
  const bool isReader = aDaemon.readers_->IsReader(now_);
  aDaemon.nextOffset_ = std::max(aDaemon.nextOffset_, aDaemon.readers_->NextOffset());
  RunPoll(aDaemon, isReader);
  if (const std::optional<common::Address> peer = aDaemon.exchange_.Tick(now_)) {
    bus_.Send({ aDaemon.member_.address_, *peer, { Message::Kind::kQuery, aDaemon.version_ } },
              now_);
  }
  MeasureLag(aDaemon);
}

void DocumentFleet::RunPoll(Daemon& aDaemon, bool aIsReader)
{
  if (!aDaemon.poll_ && aIsReader) {
    ++storeCalls_;
    const common::Duration wait = aDaemon.readers_->Settings().pollWait_;
    aDaemon.poll_ = Poll{ aDaemon.nextOffset_, now_ + wait };
  }
  if (!aDaemon.poll_) {
    return;
  }
  Poll& poll = *aDaemon.poll_;
  poll.isLost_ = poll.isLost_ || cutFromStore_.contains(aDaemon.member_.instance_.Get());
  const bool hasRecord =
    poll.from_.Get() <= storeVersion_.Get() && now_ >= publishedAt_ + kStoreRoundTrip;
  if (poll.isLost_) {
    if (now_ >= poll.timeout_ + kPollTimeout) {
      aDaemon.poll_.reset();
    }
  } else if (hasRecord || now_ >= poll.timeout_ + kStoreRoundTrip) {
    if (hasRecord) {
      aDaemon.nextOffset_ = common::Offset(storeVersion_.Get() + 1);
      Activate(aDaemon, storeVersion_);
    }
    aDaemon.poll_.reset();
    Send(aDaemon, aDaemon.readers_->OnStoreAnswer(aDaemon.nextOffset_, now_));
  }
}

void DocumentFleet::MeasureLag(Daemon& aDaemon)
{
  if (aDaemon.version_ == storeVersion_) {
    aDaemon.behindSince_ = common::TimePoint();
    return;
  }
  if (aDaemon.behindSince_ == common::TimePoint()) {
    aDaemon.behindSince_ = now_;
  }
  if (now_ - aDaemon.disturbedAt_ > kStableWindow) {
    maxLag_ = std::max(maxLag_, now_ - aDaemon.behindSince_);
  }
}

} // namespace dandelionstand::tests
