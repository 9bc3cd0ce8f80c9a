#ifndef dandelionstand_target_RouteUsage_h
#define dandelionstand_target_RouteUsage_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace dandelionstand::target {

//! How the attempts of one route used a target over a period.
struct RouteUse
{
  std::uint64_t offered_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t startedLate_ = 0;    //!< Started after the latency objective had passed.
  std::uint64_t startedRetries_ = 0; //!< Started, and not the first attempt of their call.
  std::uint64_t refused_ = 0;
  std::uint64_t aborted_ = 0;      //!< Started, and ended without a successful answer.
  common::Duration slotTime_{ 0 }; //!< Time for which finished attempts occupied slots.
};

//! Records by route what a target's slots are used for.
class RouteUsage
{
public:
  void RecordOffer(const std::string& aRoute) { ++uses_[aRoute].offered_; }
  void RecordRefusal(const std::string& aRoute) { ++uses_[aRoute].refused_; }
  void RecordStart(const std::string& aRoute, bool aIsRetry, bool aIsLate);
  //! aSlotTime is the time since the start.
  void RecordEnd(const std::string& aRoute, common::Duration aSlotTime, bool aIsAborted);

  //! Returns the uses since the last call of this function, by route.
  std::map<std::string, RouteUse> Extract();

private:
  std::map<std::string, RouteUse> uses_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_RouteUsage_h
