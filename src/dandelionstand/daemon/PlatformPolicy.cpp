#include "dandelionstand/daemon/PlatformPolicy.h"

#include "dandelionstand/common/HttpServer.h"

#include <algorithm>
#include <string>

namespace dandelionstand::daemon {

namespace {

using namespace std::chrono_literals;

//! Parts of the shared budget and reserve that are used. The rest covers what one daemon does not
//! see: the retries of requests that its own retries caused deeper in a chain.
constexpr double kUsedRetryShare = 0.5;
constexpr double kUsedRetryReserve = 0.6;
//! The way to another region and back, and the shortest work of the sites, 30 ms.
constexpr common::Duration kLeastTimeForRetry = 55ms;
//! Clients are up to 8 ms away, and answers wait for the processor.
constexpr common::Duration kCallerMargin = 40ms;
//! An endpoint that breaks off fails all that it works on, 18 requests on the sites.
constexpr double kRetryBurst = 40;
//! A request makes up to two calls, and each of them may be tried again.
constexpr std::uint32_t kRerunCost = 2;
//! Answers up to this size can be had from another endpoint when one breaks off. It covers the
//! largest downloads of the sites, at 16 MiB for 16 of them at a time.
constexpr std::size_t kHeldBytes = 1024UL * 1024;

} // namespace

caller::CallPolicy PlatformCallPolicy()
{
  caller::CallPolicy policy;
  policy.extraAttempts_ = 2;
  policy.chargesRefusalRetries_ = false;
  policy.rerunCost_ = kRerunCost;
  policy.minTimeForRetry_ = kLeastTimeForRetry;
  policy.callerDeadlineMargin_ = kCallerMargin;
  policy.reservesTimeForRetry_ = false;
  policy.retriesServerErrors_ = true;
  policy.hasObjectives_ = true;
  policy.enforcesDownloadDeadline_ = true;
  policy.answerBufferBytes_ = kHeldBytes;
  // The target side admits by its own measure, and daemons restart beside endpoints that stay warm.
  policy.slowStartPeriod_ = {};
  return policy;
}

caller::RetryBudgetSettings PlatformRetryBudget(const platform::PlatformBounds& aBounds,
                                                std::ptrdiff_t aLiveDaemons)
{
  caller::RetryBudgetSettings budget;
  budget.ratio_ = aBounds.retryBudgetRatio_ * kUsedRetryShare;
  budget.reserve_ = aBounds.retryBudgetSlack_ * kUsedRetryReserve /
                    static_cast<double>(std::max<std::ptrdiff_t>(1, aLiveDaemons));
  budget.window_ = aBounds.retryBudgetWindow_;
  budget.burst_ = kRetryBurst;
  budget.reserveDelay_ = aBounds.retryBudgetWindow_;
  return budget;
}

peer::MembershipSettings PlatformMembership()
{
  // Failure domains of a few instances: rounds are cheap, and endpoints that start or leave have to
  // be known within a second or two.
  peer::MembershipSettings membership;
  membership.digestInterval_ = 1s;
  membership.contactInterval_ = 1s;
  membership.maxJoinBackoff_ = 2s;
  // After a loss of power everywhere the seeds have only just started too.
  membership.readsJoinRecordsOnFirstTry_ = true;
  return membership;
}

std::vector<common::Address> PeersAt(const std::vector<common::Address>& aMachines,
                                     const common::Address& aOwn)
{
  common::HostAndPort own;
  common::ParseAddress(aOwn.Get(), own);
  std::vector<common::Address> peers;
  for (const common::Address& address : aMachines) {
    common::HostAndPort machine;
    if (common::ParseAddress(address.Get(), machine) && machine.host_ != own.host_) {
      peers.emplace_back(machine.host_ + ":" + std::to_string(own.port_));
    }
  }
  return peers;
}

} // namespace dandelionstand::daemon
