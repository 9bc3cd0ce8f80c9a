#include "dandelionstand/daemon/PlatformPolicy.h"

#include "dandelionstand/common/HttpServer.h"

#include <algorithm>
#include <string>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

//! Fractions of the platform's retry share and reserve that the daemons use. The rest covers
//! retries that a daemon cannot observe: those of requests that its own retries cause further down
//! a call chain.
constexpr double kRetryShareUsedFraction = 0.5;
constexpr double kRetryReserveUsedFraction = 0.6;
//! Round trip to another region plus the shortest processing time on the users' sites, 30 ms.
constexpr common::Duration kMinTimeForRetry = 55ms;
//! Covers a network latency to clients of up to 8 ms and the time that answers wait for the CPU.
constexpr common::Duration kCallerDeadlineMargin = 40ms;
//! Covers the retries when an endpoint fails all its running requests, 18 on the users' sites.
constexpr double kRetryBurst = 40;
//! A request makes up to two further calls, and each of them may be retried.
constexpr std::uint32_t kRerunCost = 2;
//! Answers up to this size can be retried at another endpoint if one breaks off. It covers the
//! largest downloads on the users' sites; 16 concurrent downloads take 16 MiB.
constexpr std::size_t kAnswerBufferBytes = 1024UL * 1024;

} // namespace

caller::CallPolicy PlatformCallPolicy()
{
  caller::CallPolicy policy;
  policy.extraAttempts_ = 2;
  policy.chargesRefusalRetries_ = false;
  policy.rerunCost_ = kRerunCost;
  policy.minTimeForRetry_ = kMinTimeForRetry;
  policy.callerDeadlineMargin_ = kCallerDeadlineMargin;
  policy.reservesTimeForRetry_ = false;
  policy.retriesServerErrors_ = true;
  policy.statusesPromiseNotRun_ = true;
  policy.hasObjectives_ = true;
  policy.enforcesDownloadDeadline_ = true;
  policy.answerBufferBytes_ = kAnswerBufferBytes;
  // No slow start: the target side limits its own admission, and a daemon may restart beside an
  // endpoint that is still warm.
  policy.slowStartPeriod_ = {};
  return policy;
}

caller::RetryBudgetSettings PlatformRetryBudget(const platform::PlatformBounds& aBounds,
                                                std::ptrdiff_t aLiveDaemons)
{
  caller::RetryBudgetSettings budget;
  budget.ratio_ = aBounds.retryBudgetRatio_ * kRetryShareUsedFraction;
  budget.reserve_ = aBounds.retryBudgetSlack_ * kRetryReserveUsedFraction /
                    static_cast<double>(std::max<std::ptrdiff_t>(1, aLiveDaemons));
  budget.window_ = aBounds.retryBudgetWindow_;
  budget.burst_ = kRetryBurst;
  budget.reserveDelay_ = aBounds.retryBudgetWindow_;
  return budget;
}

peer::MembershipSettings PlatformMembership()
{
  // Failure domains have few instances, so rounds are cheap. Endpoints that start or leave must be
  // known within one or two seconds.
  peer::MembershipSettings membership;
  membership.digestInterval_ = 1s;
  membership.contactInterval_ = 1s;
  membership.maxJoinBackoff_ = 2s;
  // After a power failure everywhere, the seeds have just started too and know no members.
  membership.readsJoinRecordsOnFirstTry_ = true;
  membership.recoversWithdrawals_ = true;
  return membership;
}

std::vector<common::Address> ToPeerAddresses(const std::vector<common::Address>& aInstances,
                                             const common::Address& aSelf)
{
  common::HostAndPort self;
  common::ParseAddress(aSelf.Get(), self);
  std::vector<common::Address> peers;
  for (const common::Address& address : aInstances) {
    common::HostAndPort instance;
    if (common::ParseAddress(address.Get(), instance) && instance.host_ != self.host_) {
      peers.emplace_back(instance.host_ + ":" + std::to_string(self.port_));
    }
  }
  return peers;
}

} // namespace dandelionstand::daemon
