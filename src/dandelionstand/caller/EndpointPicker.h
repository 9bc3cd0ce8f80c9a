#ifndef dandelionstand_caller_EndpointPicker_h
#define dandelionstand_caller_EndpointPicker_h

#include "dandelionstand/caller/EndpointStats.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/EndpointDirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace dandelionstand::caller {

using peer::Endpoint;

//! Load of a target side, as it rides on its answers.
struct ReportedLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::uint32_t slots_ = 0; //!< 0 if nothing was reported yet.
  //! Usual time of the route's requests; 0 if it is not measured.
  common::Duration workTime_{ 0 };
};

//! How an attempt ended, as far as the choice of endpoints is concerned.
enum class AttemptResult
{
  kAnswered, //!< An answer of the target, whole.
  kErrored,  //!< A whole answer that says that the target failed.
  kShed,     //!< Not run: the target itself turned it away.
  kRefused,  //!< Not run: saturated, draining or not ready; the endpoint is alive.
  kFailed,   //!< Time-out, lost link, broken answer.
  kDropped,  //!< Ended by the caller; tells nothing about the endpoint.
};

//! What distance costs, in time that a request may as well take longer at a nearer endpoint.
struct Distances
{
  //! Round trips on the users' sites.
  common::Duration domainTrip_ = std::chrono::milliseconds(2);
  common::Duration regionTrip_ = std::chrono::milliseconds(24);
  //! Bytes across borders are billed. At the users' prices a kilobyte costs 0.006 to 0.01 of an
  //! answer's worth between failure domains and 0.023 to 0.04 between regions, and 1 ms of work
  //! saves about 0.0003 of it in answers that would be late.
  common::Duration domainKilobyte_ = std::chrono::milliseconds(25);
  common::Duration regionKilobyte_ = std::chrono::milliseconds(100);
  //! A request, and the heads and envelopes of both ways.
  double overheadKilobytes_ = 0.5;
};

//! Settings of an EndpointPicker.
struct PickerSettings
{
  common::FailureDomain failureDomain_;
  common::Region region_;
  //! Load of an endpoint, as a share of its slots, from which the next tier is used.
  double spillAt_ = 1.0;
  std::uint32_t ejectAfterFailures_ = 3;
  common::Duration ejectFor_ = std::chrono::seconds(2);
  common::Duration ejectForAtMost_ = std::chrono::seconds(30);
  //! An endpoint with work under way that sends nothing for this long counts as stalled.
  common::Duration stallAfter_ = std::chrono::seconds(1);
  //! At most this share of a service's endpoints is left out at one time.
  std::uint32_t ejectAtMostPercent_ = 50;
  common::Duration slowStartPeriod_ = std::chrono::seconds(5);
  //! A reported load counts for this long.
  common::Duration loadFresh_ = std::chrono::milliseconds(500);
  std::uint32_t slots_ = 8; //!< Assumed until an endpoint reports its own.
  Distances distances_;
  //! Time that a certain failure is worth: an attempt elsewhere takes about that long.
  common::Duration failureTime_ = std::chrono::milliseconds(500);
};

//! Chooses the endpoint for each attempt at one service.
//!
//! Answers the load pattern of endpoints that differ in speed, for good or for a while, and of a
//! domain with more work than room: the nearest endpoint is not always the one that answers first.
//! Each endpoint that is not saturated has a cost in time: its own measure of its usual time for
//! the route, more under load and with failures, and its distance, in which billed bytes count. Of
//! two random ones among the cheapest the less loaded is taken. One of which nothing is known is
//! tried with one request. If all are saturated, the nearest one queues. Endpoints that fail
//! repeatedly or stall are left out for a while, up to a ceiling on how many.
class EndpointPicker
{
public:
  EndpointPicker(PickerSettings aSettings, std::uint64_t aSeed);

  //! Replaces the endpoints; what is known of those that stay with one incarnation is kept.
  void SetEndpoints(const std::vector<Endpoint>& aEndpoints, common::TimePoint aNow);
  void SetSlots(std::uint32_t aSlots) { settings_.slots_ = aSlots; }

  //! An endpoint that is not among aTried; nullopt if there is none.
  std::optional<Endpoint> Pick(const std::vector<common::InstanceId>& aTried,
                               const config::RouteName& aRoute,
                               common::TimePoint aNow);
  //! Whether Pick would find an endpoint.
  bool HasOther(const std::vector<common::InstanceId>& aTried) const;

  void Started(const common::InstanceId& aInstance, common::TimePoint aNow);
  //! A message of a running attempt arrived.
  void Progressed(const common::InstanceId& aInstance, common::TimePoint aNow);
  void Reported(const common::InstanceId& aInstance,
                const config::RouteName& aRoute,
                ReportedLoad aLoad,
                common::TimePoint aNow);
  //! Least usual time that an endpoint which is not among aTried takes for the route; 0 if one of
  //! them is unknown.
  common::Duration LeastTime(const std::vector<common::InstanceId>& aTried,
                             const config::RouteName& aRoute,
                             common::TimePoint aNow) const;
  //! Length of a whole answer.
  void AnswerSize(const config::RouteName& aRoute, std::uint64_t aBytes);
  void Ended(const common::InstanceId& aInstance, AttemptResult aResult, common::TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }
  //! Endpoints that are left out at present.
  std::size_t Ejected(common::TimePoint aNow) const;
  //! Load of an endpoint as a share of its slots, as the comparison sees it.
  double LoadOf(const common::InstanceId& aInstance, common::TimePoint aNow) const;

private:
  struct Entry
  {
    Endpoint endpoint_;
    common::TimePoint since_; //!< Begin of the slow start.
    std::uint32_t outstanding_ = 0;
    std::uint32_t outstandingAtReport_ = 0;
    ReportedLoad load_;
    common::TimePoint loadAt_;
    common::TimePoint lastHeard_; //!< Or the begin of the first attempt under way.
    std::uint32_t failures_ = 0;  //!< In a row.
    std::uint32_t ejections_ = 0; //!< In a row.
    common::TimePoint ejectedUntil_;
    EndpointStats times_;
  };

  using EntryMap = std::map<common::InstanceId, Entry>;

  int TierOf(const Endpoint& aEndpoint) const;
  double Load(const Entry& aEntry, common::TimePoint aNow) const;
  common::Duration DistanceOf(const Entry& aEntry, const config::RouteName& aRoute) const;
  common::Duration CostOf(const Entry& aEntry,
                          const config::RouteName& aRoute,
                          common::Duration aLeastTime,
                          common::TimePoint aNow) const;
  std::vector<const Entry*> Nearest(const std::vector<const Entry*>& aEntries) const;
  std::vector<const Entry*> Cheapest(const std::vector<const Entry*>& aEntries,
                                     const config::RouteName& aRoute,
                                     common::TimePoint aNow) const;
  double Ramp(const Entry& aEntry, common::TimePoint aNow) const;
  bool IsStalled(const Entry& aEntry, common::TimePoint aNow) const;
  bool IsLeftOut(const Entry& aEntry, common::TimePoint aNow) const;
  bool MayEject(common::TimePoint aNow) const;
  void Eject(Entry& aEntry, common::TimePoint aNow);
  const Entry* BestOfTwo(const std::vector<const Entry*>& aEntries, common::TimePoint aNow);
  std::vector<const Entry*> Candidates(const std::vector<common::InstanceId>& aTried,
                                       common::TimePoint aNow) const;

  PickerSettings settings_;
  std::mt19937_64 random_;
  EntryMap entries_;
  std::map<config::RouteName, double> answerKilobytes_; //!< Moving averages.
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_EndpointPicker_h
