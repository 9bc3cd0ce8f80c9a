#ifndef dandelionstand_tests_peer_MembershipBus_h
#define dandelionstand_tests_peer_MembershipBus_h

#include "MessageBus.h"
#include "dandelionstand/peer/Membership.h"

#include <map>
#include <memory>
#include <string>

namespace dandelionstand::tests {

//! Many memberships on one bus, with a shared stream of join records.
class MembershipBus
{
public:
  explicit MembershipBus(std::uint64_t aSeed);

  //! Starts one daemon (or its next incarnation); its address is its name.
  void Start(const std::string& aName,
             const std::string& aDomain,
             const std::string& aRegion,
             const std::vector<std::string>& aSeeds = {});
  //! Two domains in each of three regions, aPerDomain daemons in each, "r0d0i0" as a seed of all.
  void StartFleet(int aPerDomain);
  void Kill(const std::string& aName);
  void Handle(const std::string& aName, const peer::MembershipEvent& aEvent);
  void RunFor(common::Duration aTime);
  //! Runs until aIsTrue; false after aMost.
  bool RunUntil(const std::function<bool()>& aIsTrue, common::Duration aMost);

  peer::Membership& At(const std::string& aName) { return *daemons_.at(aName).membership_; }
  std::vector<std::string> Names() const;
  //! True if every running daemon knows exactly the running ones as alive or leaving.
  bool IsSettled();
  peer::MemberStatus StatusOf(const std::string& aName, const std::string& aSeenBy);

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
