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

//! In-memory replacement for one stream of the log, with retention.
class FakeLog
{
public:
  void Append(std::string aData) { records_.push_back({ NextOffset(), std::move(aData) }); }
  void DropRecordsBelow(std::uint64_t aFirst);
  common::Offset FirstOffset() const;
  common::Offset NextOffset() const { return common::Offset(droppedCount_ + records_.size() + 1); }
  peer::Records RecordsFrom(common::Offset aOffset) const;

private:
  std::uint64_t droppedCount_ = 0;
  peer::Records records_;
};

//! Many Spreading instances that share one message bus and one log, in simulated time. Each applied
//! record is checked: a daemon that skips a record, or serves an older state than before, adds to
//! Faults().
class SpreadingBus
{
public:
  explicit SpreadingBus(std::uint64_t aSeed, peer::SpreadingSettings aSettings = {});

  void Start(const std::string& aName, const std::string& aDomain, const std::string& aRegion);
  //! Starts aPerDomain daemons in each of two failure domains in each of three regions.
  void StartFleet(int aPerDomain);
  void Kill(const std::string& aName);
  //! A paused daemon neither receives nor ticks; messages to it are delivered after it resumes.
  void Pause(const std::string& aName) { paused_.insert(aName); }
  void Resume(const std::string& aName) { paused_.erase(aName); }
  //! Updates the members of every daemon to all running daemons, including paused ones.
  void UpdateMembers();
  void RunFor(common::Duration aDuration);
  bool RunUntil(const std::function<bool()>& aCondition, common::Duration aMaxDuration);
  void Handle(const std::string& aName, const peer::SpreadingEvent& aEvent);

  peer::Spreading& SpreadingOf(const std::string& aName) { return *daemons_.at(aName).spreading_; }
  std::vector<std::string> Names() const;
  bool AllHaveApplied(common::Offset aPosition);
  bool AllServe();
  std::size_t ReaderCount();
  std::string HeadOf(const std::string& aRegion);

  FakeLog& Log() { return log_; }
  //! aIsReachable returns whether the named daemon can reach the log. If null, all daemons can.
  void SetLogReachable(std::function<bool(const std::string&)> aIsReachable)
  {
    isLogReachable_ = std::move(aIsReachable);
  }
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
    common::Offset fromOffset_;
    common::TimePoint deadline_;
  };
  struct Daemon
  {
    peer::Member member_;
    std::unique_ptr<peer::Spreading> spreading_;
    std::uint64_t appliedOffset_ = 0; //!< Last offset applied to its state.
    bool isComplete_ = true;
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
  std::map<std::string, std::uint64_t> highestServed_; //!< By instance, over all its incarnations.
  std::set<std::string> paused_;
  FakeLog log_;
  std::function<bool(const std::string&)> isLogReachable_;
  std::vector<std::string> faults_;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t logReads_ = 0;
  std::uint64_t recordsAcrossRegions_ = 0;
  std::uint64_t startCount_ = 0;
  common::TimePoint now_{ std::chrono::seconds(1) };
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_peer_SpreadingBus_h
