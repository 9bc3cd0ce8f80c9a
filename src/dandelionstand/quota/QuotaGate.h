#ifndef dandelionstand_quota_QuotaGate_h
#define dandelionstand_quota_QuotaGate_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/organisations/Organisation.h"

#include <functional>

namespace dandelionstand::quota {

struct QuotaDecision
{
  enum class Result
  {
    kAdmitted,
    kOverQuota,   //!< The organisation has used its quota.
    kUnavailable, //!< No grantor has replied, and the share without one is used up.
  };
  Result result_ = Result::kUnavailable;
  common::Duration retryAfter_{ 0 }; //!< Until the request may succeed.
  //! Of kAdmitted: until when the token can be returned, by common::BootNow.
  common::TimePoint tokenExpiresAt_;
};

//! Decides whether requests of an organisation are within its quota.
class QuotaGate
{
public:
  using Callback = std::function<void(const QuotaDecision&)>;

  virtual ~QuotaGate();

  //! Calls aCallback once: at once if tokens are here or known to be used up, otherwise within
  //! aTimeLeft / 10, 0.3 s at most.
  virtual void Admit(const organisations::Organisation& aOrganisation,
                     common::Duration aTimeLeft,
                     Callback aCallback) = 0;
  //! A request that was admitted did not run.
  virtual void ReturnToken(const common::OrganisationName& aOrganisation,
                           common::TimePoint aExpiresAt) = 0;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_QuotaGate_h
