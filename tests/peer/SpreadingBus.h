#ifndef dandelionstand_tests_peer_SpreadingBus_h
#define dandelionstand_tests_peer_SpreadingBus_h

#include "MessageBus.h"
#include "dandelionstand/peer/Spreading.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! One log stream with long polls, retention and outages.
class FakeLog
{
public:
  void Append(std::string aData) { records_.push_back({ Next(), std::move(aData) }); }
  //! Drops the records below aFirst.
  void DropBelow(std::uint64_t aFirst);
  common::Offset First() const;
  common::Offset Next() const { return common::Offset(dropped_ + records_.size() + 1); }
  peer::Records From(common::Offset aFrom) const;

private:
  std::uint64_t dropped_ = 0;
  peer::Records records_;
};

//! Many spreading machines on one bus before one log. Each applied record is checked at once:
//! a daemon that goes back, or leaves a record out, adds to Faults().
class SpreadingBus
{
public:
  explicit SpreadingBus(std::uint64_t aSeed, peer::SpreadingSettings aSettings = {});

  void Start(const std::string& aName, const std::string& aDomain, const std::string& aRegion);
  //! Two domains in each of three regions, aPerDomain daemons in each.
  void StartFleet(int aPerDomain);
  void Kill(const std::string& aName);
  //! A paused daemon neither receives nor ticks; what is sent to it waits.
  void Pause(const std::string& aName) { paused_.insert(aName); }
  void Continue(const std::string& aName) { paused_.erase(aName); }
  //! From now on everyone knows exactly the running daemons (a paused one counts as running).
  void UpdateMembers();
  void RunFor(common::Duration aTime);
  bool RunUntil(const std::function<bool()>& aIsTrue, common::Duration aMost);
  void Handle(const std::string& aName, const peer::SpreadingEvent& aEvent);

  peer::Spreading& At(const std::string& aName) { return *daemons_.at(aName).spreading_; }
  std::vector<std::string> Names() const;
  bool AllAt(common::Offset aPosition);
  bool AllServe();
  std::size_t Readers();
  std::string HeadOf(const std::string& aRegion);

  FakeLog& Log() { return log_; }
  //! Whether that daemon reaches the log.
  void SetLogReach(std::function<bool(const std::string&)> aReach) { reach_ = std::move(aReach); }
  MessageBus<peer::wire::SpreadingMessage>& Messages() { return bus_; }
  const std::vector<std::string>& Faults() const { return faults_; }
  std::uint64_t BytesSent() const { return bytesSent_; }
  std::uint64_t LogReads() const { return logReads_; }
  std::uint64_t RecordsAcrossRegions() const { return recordsAcrossRegions_; }
  common::TimePoint Now() const { return now_; }

private:
  struct PendingRead
  {
    std::uint64_t sequence_;
    common::Offset from_;
    common::TimePoint until_;
  };
  struct Daemon
  {
    peer::Member member_;
    std::unique_ptr<peer::Spreading> spreading_;
    std::uint64_t applied_ = 0; //!< Last offset in its state.
    bool isUsable_ = true;
    std::unique_ptr<PendingRead> read_;
  };

  void Perform(const std::string& aName, const peer::SpreadingActions& aActions);
  void Apply(const std::string& aName, const peer::Records& aRecords);
  void Restore(const std::string& aName, const peer::ApplySnapshot& aSnapshot);
  void Send(const std::string& aName,
            const common::Address& aTo,
            const peer::wire::SpreadingMessage& aMessage);
  void AnswerReads();

  std::uint64_t seed_;
  peer::SpreadingSettings settings_;
  MessageBus<peer::wire::SpreadingMessage> bus_;
  std::map<std::string, Daemon> daemons_;
  std::map<std::string, std::uint64_t> everApplied_; //!< Over all incarnations, while serving.
  std::set<std::string> paused_;
  FakeLog log_;
  std::function<bool(const std::string&)> reach_;
  std::vector<std::string> faults_;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t logReads_ = 0;
  std::uint64_t recordsAcrossRegions_ = 0;
  std::uint64_t starts_ = 0;
  common::TimePoint now_{ std::chrono::seconds(1) };
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_peer_SpreadingBus_h
