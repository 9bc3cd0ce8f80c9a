#ifndef dandelionstand_tests_peer_MembershipBus_h
#define dandelionstand_tests_peer_MembershipBus_h

#include "MessageBus.h"
#include "dandelionstand/peer/Membership.h"

#include <map>
#include <memory>
#include <string>

namespace dandelionstand::tests {

//! Runs many Membership instances on one MessageBus, with a shared stream of join records.
class MembershipBus
{
public:
  explicit MembershipBus(std::uint64_t aSeed);

  //! Starts a daemon or its next incarnation. The name is also its address.
  void Start(const std::string& aName,
             const std::string& aDomain,
             const std::string& aRegion,
             const std::vector<std::string>& aSeeds = {});
  //! Starts aPerDomain daemons in each of two domains in each of three regions, with "r0d0i0" as
  //! the seed of all.
  void StartFleet(int aPerDomain);
  void Kill(const std::string& aName);
  void Handle(const std::string& aName, const peer::MembershipEvent& aEvent);
  void RunFor(common::Duration aDuration);
  //! Runs until aCondition returns true. False if it does not within aTimeout.
  bool RunUntil(const std::function<bool()>& aCondition, common::Duration aTimeout);

  peer::Membership& At(const std::string& aName) { return *daemons_.at(aName).membership_; }
  std::vector<std::string> Names() const;
  //! True if for every running daemon exactly the running daemons are alive or leaving.
  bool HasConverged();
  //! Status of aName as known to aObserver; dead if unknown.
  peer::MemberStatus StatusOf(const std::string& aName, const std::string& aObserver);

  MessageBus<peer::wire::MembershipUpdate>& Messages() { return bus_; }
  void SetJoinRecordsAvailable(bool aAvailable) { isLogAvailable_ = aAvailable; }
  std::uint64_t BytesSent() const { return bytesSent_; }
  common::TimePoint Now() const { return now_; }

private:
  struct Daemon
  {
    std::unique_ptr<peer::Membership> membership_;
  };

  void Perform(const std::string& aName, const peer::MembershipActions& aActions);

  std::uint64_t seed_;
  MessageBus<peer::wire::MembershipUpdate> bus_;
  std::map<std::string, Daemon> daemons_;
  std::map<std::string, std::uint64_t> incarnations_;
  peer::Members joinRecords_;
  bool isLogAvailable_ = true;
  std::uint64_t bytesSent_ = 0;
  common::TimePoint now_{ std::chrono::seconds(1) };
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_peer_MembershipBus_h
