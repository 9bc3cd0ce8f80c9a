#ifndef dandelionstand_quota_GrantIssuer_h
#define dandelionstand_quota_GrantIssuer_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/quota/QuotaLimits.h"

#include <cstdint>
#include <unordered_map>

namespace dandelionstand::quota {

//! A daemon's request for tokens of one organisation.
struct GrantRequest
{
  std::uint32_t wanted_ = 0;
  double demandPerSecond_ = 0; //!< Requests that the organisation sends to this daemon.
};

struct Grant
{
  std::uint32_t tokens_ = 0;
  //! When to request again; 0 if all that was wanted was granted.
  common::Duration retryAfter_{ 0 };
};

//! A time in which a daemon is the grantor of an organisation.
struct Tenure
{
  common::TimePoint since_;
  //! Another grantor may have begun in the window before.
  bool isSuccessor_ = true;
};

//! Issues the tokens of the organisations for which this daemon is the grantor.
//!
//! Designed for an organisation that sends several times its rate through many daemons: its tokens
//! are divided in proportion to the daemons' demand, so that no daemon takes all of them, and each
//! daemon learns when to request again.
class GrantIssuer
{
public:
  Grant Issue(const common::OrganisationName& aOrganisation,
              const QuotaLimits& aLimits,
              const common::InstanceId& aRequester,
              const GrantRequest& aRequest,
              const Tenure& aTenure,
              common::TimePoint aNow);

private:
  struct Demand
  {
    double perSecond_ = 0;
    common::TimePoint statedAt_;
  };
  struct Bucket
  {
    double level_ = 0;
    common::TimePoint filledAt_;
    common::TimePoint since_;
    std::unordered_map<common::InstanceId, Demand> demands_;
    double demand_ = 0; //!< Sum of demands_.
    common::TimePoint demandsCheckedAt_;
  };

  //! Returns the organisation's demand at all daemons.
  static double UpdateDemand(Bucket& aBucket,
                             const common::InstanceId& aRequester,
                             double aPerSecond,
                             common::TimePoint aNow);
  Bucket& BucketOf(const common::OrganisationName& aOrganisation,
                   const QuotaLimits& aLimits,
                   const Tenure& aTenure,
                   common::TimePoint aNow);

  std::unordered_map<common::OrganisationName, Bucket> buckets_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_GrantIssuer_h
