#ifndef dandelionstand_tests_peer_DocumentFleet_h
#define dandelionstand_tests_peer_DocumentFleet_h

#include "MessageBus.h"
#include "dandelionstand/peer/DocumentExchange.h"
#include "dandelionstand/peer/DocumentReaders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! Daemons that follow the document of one store, in simulated time. Each is in one of three
//! regions with three failure domains each.
class DocumentFleet
{
public:
  using Names = std::set<std::string>;

  //! The users' platform allows this time after a disturbance of an instance.
  static constexpr common::Duration kStableWindow = std::chrono::seconds(3);

  DocumentFleet(std::size_t aDaemons, std::uint64_t aSeed);

  void RunFor(common::Duration aDuration);
  //! Writes the next version to the store.
  void Publish();
  void Kill(const std::string& aName);
  //! A paused daemon neither receives nor ticks until it resumes.
  void Pause(const std::string& aName) { paused_.insert(aName); }
  void Resume(const std::string& aName) { paused_.erase(aName); }
  void CutFromStore(const std::string& aName) { cutFromStore_.insert(aName); }
  void ReconnectToStore(const std::string& aName) { cutFromStore_.erase(aName); }
  //! Cuts the daemons off from all other daemons, also from each other; not from the store.
  void CutFromPeers(const Names& aNames);
  void HealPeers() { bus_.HealPartition(); }
  void SetFaults(BusFaults aFaults) { bus_.SetFaults(aFaults); }
  //! Tells every daemon which daemons run, as the membership does with a delay.
  void UpdateMembers();

  //! Daemons that poll the store because of their rank.
  std::vector<std::string> RankedReaders() const;
  std::vector<std::string> All() const;
  std::uint64_t StoreCalls() const { return storeCalls_; }
  //! The longest time for which a daemon lacked the newest version, among those that ran and
  //! reached the store without a break for kStableWindow.
  common::Duration MaxLag() const { return maxLag_; }
  bool HasRegressed() const { return hasRegressed_; }

private:
  struct Message
  {
    enum class Kind
    {
      kConfirmation,
      kQuery,
      kDocument,
    };
    Kind kind_ = Kind::kConfirmation;
    common::Version version_;
    common::Duration age_{ 0 };
    common::Offset nextOffset_;
    bool isRelay_ = false;
  };
  struct Poll
  {
    common::Offset from_;
    common::TimePoint timeout_; //!< The store answers an empty poll at this time.
    bool isLost_ = false;       //!< The daemon was cut off from the store since the start.
  };
  struct Daemon
  {
    peer::Member member_;
    std::unique_ptr<peer::DocumentReaders> readers_;
    peer::DocumentExchange exchange_;
    common::Version version_;
    common::Offset nextOffset_{ 1 };
    std::optional<Poll> poll_;
    common::TimePoint behindSince_;
    common::TimePoint disturbedAt_; //!< Last time at which it was paused or cut off from the store.
  };

  void Deliver(Daemon& aDaemon, const common::Address& aFrom, const Message& aMessage);
  void Send(const Daemon& aFrom, const peer::DocumentReaders::Confirmations& aConfirmations);
  void Activate(Daemon& aDaemon, common::Version aVersion);
  void Tick(Daemon& aDaemon);
  void RunPoll(Daemon& aDaemon, bool aIsReader);
  void MeasureLag(Daemon& aDaemon);

  common::TimePoint now_{ std::chrono::hours(1) };
  MessageBus<Message> bus_;
  std::map<std::string, Daemon> daemons_;
  Names paused_;
  Names cutFromStore_;
  common::Version storeVersion_{ 1 }; //!< Also the number of records in the store.
  common::TimePoint publishedAt_ = now_;
  std::uint64_t storeCalls_ = 0;
  common::Duration maxLag_{ 0 };
  bool hasRegressed_ = false;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_peer_DocumentFleet_h
