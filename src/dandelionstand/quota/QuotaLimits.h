#ifndef dandelionstand_quota_QuotaLimits_h
#define dandelionstand_quota_QuotaLimits_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/organisations/Organisation.h"

#include <algorithm>
#include <cstddef>

namespace dandelionstand::quota {

//! What the operators allow beyond the quotas, since many daemons apply them together: in any
//! window an organisation may run (rate x window + burst) x (1 + overage) + slack requests.
struct QuotaRule
{
  common::Duration window_ = std::chrono::seconds(5);
  double overage_ = 0.1; //!< As a share.
  double slack_ = 20;    //!< Requests.

  bool operator==(const QuotaRule&) const = default;
};

//! Time for which a token may be spent, from its request.
common::Duration TokenLifetime(const QuotaRule& aRule);

//! Limits of one organisation, from its quota and the rule. Whatever grantors and daemons do within
//! them stays within the rule. Amounts are in requests.
class QuotaLimits
{
public:
  QuotaLimits(const organisations::Organisation& aOrganisation, const QuotaRule& aRule);

  //! Requests per second that a grantor issues.
  double Rate() const { return rate_; }
  //! Capacity of the token bucket at the grantor.
  double Capacity() const { return capacity_; }
  //! Level of the bucket of a new grantor; negative if its predecessor may have issued more than
  //! the rule leaves for both.
  double StartLevel() const { return startLevel_; }
  //! The same if another grantor began in the last window: any number of them may follow.
  double SuccessorStartLevel() const { return std::min(0.0, startLevel_); }
  //! What all daemons without a grantor may spend together in a window.
  double AutonomousShare() const { return autonomousShare_; }
  //! Maximum requests in a window.
  double MaxInWindow() const { return maxInWindow_; }

private:
  double rate_ = 0;
  double capacity_ = 0;
  double startLevel_ = 0;
  double autonomousShare_ = 0;
  double maxInWindow_ = 0;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_QuotaLimits_h
