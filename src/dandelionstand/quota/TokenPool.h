#ifndef dandelionstand_quota_TokenPool_h
#define dandelionstand_quota_TokenPool_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/quota/GrantIssuer.h"
#include "dandelionstand/quota/QuotaLimits.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace dandelionstand::quota {

//! A daemon's tokens of one organisation.
//!
//! Designed for organisations of very different sizes: tokens are requested ahead by demand, so
//! that requests of large ones find them here, and on demand for the others. Without a grantor the
//! daemon spends a small share by itself.
class TokenPool
{
public:
  //! aAutonomousFrom: nothing is spent without a grantor before.
  explicit TokenPool(common::Duration aLifetime, common::TimePoint aAutonomousFrom = {})
    : lifetime_(aLifetime)
    , autonomousFrom_(aAutonomousFrom)
  {
  }

  //! A request of the organisation has arrived. Counts for the demand.
  void OnArrival(common::TimePoint aNow);
  //! Spends a token and returns when it would have expired; nullopt if there is none.
  std::optional<common::TimePoint> TrySpend(common::TimePoint aNow);
  //! A request that had spent a token did not run. The token keeps its expiry; an expired one is
  //! lost, since the grantor's bucket may have been full meanwhile.
  void Return(common::TimePoint aExpiresAt, common::TimePoint aNow);
  //! Whether the grantor has said that there are no tokens for now; the time until then.
  std::optional<common::Duration> BlockedFor(common::TimePoint aNow) const;

  //! The tokens to request now; nullopt if none are needed or a request is in progress. aWaiting:
  //! requests that wait for tokens.
  std::optional<GrantRequest> NextRequest(std::size_t aWaiting, common::TimePoint aNow);
  //! The grantor has replied to a request that was sent at aRequestedAt.
  void OnGrant(const Grant& aGrant, common::TimePoint aRequestedAt, common::TimePoint aNow);
  //! The request has no reply.
  void OnNoReply() { requestedAt_.reset(); }

  //! Spends of the share that this daemon has without a grantor: aShare requests in any window.
  bool TrySpendAutonomously(std::size_t aShare, common::Duration aWindow, common::TimePoint aNow);

  double DemandPerSecond(common::TimePoint aNow) const;
  std::uint32_t TokenCount(common::TimePoint aNow) const;

private:
  struct Batch
  {
    std::uint32_t tokens_ = 0;
    common::TimePoint expiresAt_;
  };

  void DropExpired(common::TimePoint aNow);
  void AddBatch(const Batch& aBatch);

  common::Duration lifetime_;
  common::TimePoint autonomousFrom_;
  std::deque<Batch> batches_; //!< By time of expiry.
  double demand_ = 0;         //!< Moving average, requests per second, at demandAt_.
  common::TimePoint demandAt_;
  std::optional<common::TimePoint> requestedAt_; //!< A request is in progress.
  common::TimePoint blockedUntil_;
  std::deque<common::TimePoint> autonomousSpends_; //!< In the last window.
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_TokenPool_h
