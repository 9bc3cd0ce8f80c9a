#ifndef dandelionstand_caller_EndpointPicker_h
#define dandelionstand_caller_EndpointPicker_h

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
};

//! How an attempt ended, as far as the choice of endpoints is concerned.
enum class AttemptResult
{
  kAnswered, //!< Any answer of the target, whole.
  kRefused,  //!< Not run: saturated, draining or not ready; the endpoint is alive.
  kFailed,   //!< Time-out, lost link, broken answer.
  kDropped,  //!< Ended by the caller; tells nothing about the endpoint.
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
  common::Duration slowStart_ = std::chrono::seconds(5);
  //! A reported load counts for this long.
  common::Duration loadFresh_ = std::chrono::milliseconds(500);
  std::uint32_t slots_ = 8; //!< Assumed until an endpoint reports its own.
};

//! Chooses the endpoint for each attempt at one service.
//!
//! Two random endpoints of the nearest tier (own failure domain, own region, other regions) that is
//! not saturated are compared by load. Endpoints that fail repeatedly or stall are left out for a
//! while, up to a ceiling on how many.
class EndpointPicker
{
public:
  EndpointPicker(PickerSettings aSettings, std::uint64_t aSeed);

  //! Replaces the endpoints; what is known of those that stay with one incarnation is kept.
  void SetEndpoints(const std::vector<Endpoint>& aEndpoints, common::TimePoint aNow);
  void SetSlots(std::uint32_t aSlots) { settings_.slots_ = aSlots; }

  //! An endpoint that is not among aTried; nullopt if there is none.
  std::optional<Endpoint> Pick(const std::vector<common::InstanceId>& aTried,
                               common::TimePoint aNow);
  //! Whether Pick would find an endpoint.
  bool HasOther(const std::vector<common::InstanceId>& aTried) const;

  void Started(const common::InstanceId& aInstance, common::TimePoint aNow);
  //! A message of a running attempt arrived.
  void Progressed(const common::InstanceId& aInstance, common::TimePoint aNow);
  void Reported(const common::InstanceId& aInstance, ReportedLoad aLoad, common::TimePoint aNow);
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
  };

  using EntryMap = std::map<common::InstanceId, Entry>;

  int TierOf(const Endpoint& aEndpoint) const;
  double Load(const Entry& aEntry, common::TimePoint aNow) const;
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
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_EndpointPicker_h
