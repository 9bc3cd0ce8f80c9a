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

//! Load of an endpoint, reported with its answers.
struct ReportedLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::uint32_t slots_ = 0; //!< 0 if there is no report yet.
  //! Usual work time of the route's requests; 0 if it is not measured.
  common::Duration workTime_{ 0 };
};

//! How an attempt ended, as the choice of endpoints distinguishes it.
enum class AttemptResult
{
  kAnswered,    //!< A complete answer of the target, not a server error.
  kServerError, //!< A complete answer with a 5xx status.
  kShed,        //!< Not run: the target itself refused the request.
  kRefused,     //!< Not run: the endpoint's daemon is saturated, draining or not ready.
  kFailed,      //!< Time-out, lost link, broken answer.
  kCancelled,   //!< Cancelled on this side; says nothing about the endpoint's health.
};

//! Costs of sending a request to another failure domain or region, in time: a nearer endpoint is
//! preferred even if it takes this much longer.
struct DistanceCosts
{
  //! Round-trip times between the users' sites.
  common::Duration crossDomainRoundTrip_ = std::chrono::milliseconds(2);
  common::Duration crossRegionRoundTrip_ = std::chrono::milliseconds(24);
  //! Traffic between failure domains and regions is billed. At the users' prices a kilobyte costs
  //! 0.006 to 0.01 of the value of an answer between failure domains and 0.023 to 0.04 between
  //! regions. Saving 1 ms is worth about 0.0003 of that value, through fewer late answers.
  common::Duration crossDomainCostPerKilobyte_ = std::chrono::milliseconds(25);
  common::Duration crossRegionCostPerKilobyte_ = std::chrono::milliseconds(100);
  //! Size of a request, and of the heads and envelopes in both directions.
  double overheadKilobytes_ = 0.5;
};

//! Settings of an EndpointPicker.
struct PickerSettings
{
  common::FailureDomain failureDomain_;
  common::Region region_;
  //! An endpoint is saturated from this load on, as a share of its slots.
  double saturationLoad_ = 1.0;
  std::uint32_t failuresBeforeEjection_ = 3;
  //! Doubles with each consecutive ejection, up to maxEjectionPeriod_.
  common::Duration baseEjectionPeriod_ = std::chrono::seconds(2);
  common::Duration maxEjectionPeriod_ = std::chrono::seconds(30);
  //! An endpoint with outstanding requests that sends nothing for this long counts as stalled.
  common::Duration stallTimeout_ = std::chrono::seconds(1);
  //! Maximum share of a service's endpoints that is excluded at one time.
  std::uint32_t maxExcludedPercent_ = 50;
  common::Duration slowStartPeriod_ = std::chrono::seconds(5);
  //! Reported loads older than this are ignored.
  common::Duration maxLoadAge_ = std::chrono::milliseconds(500);
  std::uint32_t slots_ = 8; //!< Assumed until an endpoint reports its slots.
  DistanceCosts distanceCosts_;
  //! Cost of an attempt that is certain to fail: a retry at another endpoint takes about this long.
  common::Duration failureCost_ = std::chrono::milliseconds(500);
};

//! Chooses the endpoint for each attempt at one service.
//!
//! The nearest endpoint is not always the fastest one: endpoints differ in speed, permanently or
//! for a while, and a failure domain may get more work than it has capacity for. Each endpoint that
//! is not saturated therefore has a cost in time: its usual work time for the route, scaled up
//! under load, plus costs of its failure rate and its distance, which include the price of traffic.
//! Of the endpoints with about the lowest cost those in the nearest tier remain, and the less
//! loaded of two random ones is chosen. An endpoint without a known work time is probed with a
//! single request. If all endpoints are saturated, requests queue at the nearest ones. Endpoints
//! that fail repeatedly or stall are excluded for a while, up to a maximum share.
class EndpointPicker
{
public:
  EndpointPicker(PickerSettings aSettings, std::uint64_t aSeed);

  //! Replaces the endpoints. The state of an endpoint is retained if its incarnation is unchanged.
  void SetEndpoints(const std::vector<Endpoint>& aEndpoints, common::TimePoint aNow);
  void SetSlots(std::uint32_t aSlots) { settings_.slots_ = aSlots; }

  //! Returns an endpoint that is not in aTried; nullopt if there is none.
  std::optional<Endpoint> Pick(const std::vector<common::InstanceId>& aTried,
                               const config::RouteName& aRoute,
                               common::TimePoint aNow);
  //! Whether Pick would find an endpoint.
  bool HasOtherEndpoint(const std::vector<common::InstanceId>& aTried) const;

  void OnAttemptStarted(const common::InstanceId& aInstance, common::TimePoint aNow);
  //! A message of a running attempt was received.
  void OnAttemptProgress(const common::InstanceId& aInstance, common::TimePoint aNow);
  void OnLoadReport(const common::InstanceId& aInstance,
                    const config::RouteName& aRoute,
                    ReportedLoad aLoad,
                    common::TimePoint aNow);
  //! Shortest usual work time for the route among the endpoints that are not in aTried; 0 if the
  //! time of one of them is unknown.
  common::Duration MinWorkTime(const std::vector<common::InstanceId>& aTried,
                               const config::RouteName& aRoute,
                               common::TimePoint aNow) const;
  //! Records the body length of a complete answer.
  void RecordAnswerSize(const config::RouteName& aRoute, std::uint64_t aBytes);
  void OnAttemptEnded(const common::InstanceId& aInstance,
                      AttemptResult aResult,
                      common::TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }
  //! Number of ejected endpoints, without those that are only stalled.
  std::size_t EjectedCount(common::TimePoint aNow) const;
  //! Load of an endpoint as a share of its slots; higher during the slow start.
  double RelativeLoadOf(const common::InstanceId& aInstance, common::TimePoint aNow) const;

private:
  struct Entry
  {
    Endpoint endpoint_;
    common::TimePoint slowStartAt_; //!< May be in the future: the end of an ejection.
    std::uint32_t outstanding_ = 0;
    std::uint32_t outstandingAtReport_ = 0;
    ReportedLoad load_;
    common::TimePoint loadReportedAt_;
    common::TimePoint lastProgressAt_; //!< Or the start of the first outstanding attempt.
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t consecutiveEjections_ = 0;
    common::TimePoint ejectedUntil_;
    EndpointStats stats_;
  };

  using EntryMap = std::map<common::InstanceId, Entry>;

  int TierOf(const Endpoint& aEndpoint) const;
  double RelativeLoad(const Entry& aEntry, common::TimePoint aNow) const;
  common::Duration DistanceCostOf(const Entry& aEntry, const config::RouteName& aRoute) const;
  common::Duration CostOf(const Entry& aEntry,
                          const config::RouteName& aRoute,
                          common::Duration aMinWorkTime,
                          common::TimePoint aNow) const;
  std::vector<const Entry*> Nearest(const std::vector<const Entry*>& aEntries) const;
  std::vector<const Entry*> Cheapest(const std::vector<const Entry*>& aEntries,
                                     const config::RouteName& aRoute,
                                     common::TimePoint aNow) const;
  double SlowStartFactor(const Entry& aEntry, common::TimePoint aNow) const;
  bool IsStalled(const Entry& aEntry, common::TimePoint aNow) const;
  bool IsExcluded(const Entry& aEntry, common::TimePoint aNow) const;
  bool CanEject(common::TimePoint aNow) const;
  void Eject(Entry& aEntry, common::TimePoint aNow);
  const Entry* LessLoadedOfTwo(const std::vector<const Entry*>& aEntries, common::TimePoint aNow);
  std::vector<const Entry*> Candidates(const std::vector<common::InstanceId>& aTried,
                                       common::TimePoint aNow) const;

  PickerSettings settings_;
  std::mt19937_64 random_;
  EntryMap entries_;
  std::map<config::RouteName, double> answerKilobytes_; //!< Moving average of answer sizes.
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_EndpointPicker_h
