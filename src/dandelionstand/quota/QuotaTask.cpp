#include "dandelionstand/quota/QuotaTask.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/DocumentReaders.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::quota {

namespace {

using namespace std::chrono_literals;

//! Daemons that join the group, so that the calls to the store do not grow with the fleet.
constexpr std::size_t kCandidates = 3;
constexpr common::Duration kTick = 25ms;
//! A grantor that has not replied by then is unavailable.
constexpr common::Duration kReplyTimeout = 300ms;
//! A request of a caller waits at most this long, and this share of its time left.
constexpr common::Duration kMaxWait = 300ms;
constexpr int kWaitDivisor = 10;
constexpr common::Duration kOwnersRequestInterval = 100ms;
constexpr common::Duration kUnavailableRetryAfter = 300ms;
constexpr double kMilli = 1000;

//! Members with the most processor time first, since a grantor handles the requests of all daemons.
peer::Members RankGrantors(const peer::Members& aMembers)
{
  peer::Members ranked = peer::RankReaders(aMembers);
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const peer::Member& aLhs, const peer::Member& aRhs) {
      return aLhs.cpuMilli_ > aRhs.cpuMilli_;
    });
  return ranked;
}

} // namespace

QuotaTask::QuotaTask(common::EventLoop& aLoop,
                     common::Counters& aCounters,
                     peer::ControlSender& aSender,
                     peer::Transport& aTransport,
                     platform::LogGroups& aGroups,
                     ConfigSource aConfigSource,
                     const peer::Member& aSelf,
                     const QuotaRule& aRule)
  : loop_(aLoop)
  , counters_(aCounters)
  , sender_(aSender)
  , transport_(aTransport)
  , self_(aSelf)
  , rule_(aRule)
  , grantor_(aCounters,
             aSender,
             aTransport,
             aGroups,
             std::move(aConfigSource),
             aSelf,
             aRule,
             owners_)
  // A reply to an earlier run of this daemon must not match a request of this one.
  , sequence_(aSelf.incarnation_.Get())
{
  aTransport.Received().connect(sigc::mem_fun(*this, &QuotaTask::OnEnvelope));
  tick_ = loop_.Every(kTick, [this] { Tick(); });
  joinTimer_ = loop_.Every(GrantorLease::kJoinInterval, [this] { grantor_.Join(); });
}

QuotaTask::~QuotaTask() = default;

QuotaTask::Account& QuotaTask::AccountOf(const organisations::Organisation& aOrganisation)
{
  std::unique_ptr<Account>& account = accounts_[aOrganisation.name_];
  if (!account) {
    // An earlier run of this daemon may have spent its share, and this one does not know all the
    // members yet among which it is divided.
    account = std::make_unique<Account>(aOrganisation, rule_, startedAt_ + rule_.window_);
  } else if (account->organisation_ != aOrganisation) {
    account->organisation_ = aOrganisation;
    account->limits_ = QuotaLimits(aOrganisation, rule_);
  }
  return *account;
}

void QuotaTask::Admit(const organisations::Organisation& aOrganisation,
                      common::Duration aTimeLeft,
                      Callback aCallback)
{
  const common::TimePoint now = common::BootNow();
  Account& account = AccountOf(aOrganisation);
  account.pool_.OnArrival(now);
  const common::Duration maxWait =
    std::min(kMaxWait, std::max(common::Duration(0), aTimeLeft / kWaitDivisor));
  account.waiters_.push_back({ std::move(aCallback), now + maxWait });
  ServeWaiters(account, now);
  if (!account.waiters_.empty() && !flushTimer_) {
    // Requests that arrive in one turn of the loop share a message.
    flushTimer_ = loop_.After(common::Duration(0), [this] {
      flushTimer_.reset();
      SendRequests(common::BootNow());
    });
  }
}

void QuotaTask::ReturnToken(const common::OrganisationName& aOrganisation,
                            common::TimePoint aExpiresAt)
{
  const auto found = accounts_.find(aOrganisation);
  if (found != accounts_.end()) {
    found->second->pool_.Return(aExpiresAt, common::BootNow());
  }
}

void QuotaTask::Decide(const Callback& aCallback, const QuotaDecision& aDecision)
{
  switch (aDecision.result_) {
    case QuotaDecision::Result::kAdmitted:
      counters_.Add("quota_admitted_total");
      break;
    case QuotaDecision::Result::kOverQuota:
      counters_.Add("quota_refused_total{reason=\"over-quota\"}");
      break;
    case QuotaDecision::Result::kUnavailable:
      counters_.Add("quota_refused_total{reason=\"unavailable\"}");
      break;
  }
  aCallback(aDecision);
}

std::size_t QuotaTask::AutonomousShare(const Account& aAccount) const
{
  // The remainder goes to different daemons for each organisation.
  const auto share = static_cast<std::size_t>(aAccount.limits_.AutonomousShare());
  const std::string& name = aAccount.organisation_.name_.Get();
  const std::size_t place = (memberIndex_ + XXH3_64bits(name.data(), name.size())) % knownMembers_;
  return share / knownMembers_ + (place < share % knownMembers_ ? 1 : 0);
}

void QuotaTask::ServeWaiters(Account& aAccount, common::TimePoint aNow)
{
  while (!aAccount.waiters_.empty()) {
    Waiter& waiter = aAccount.waiters_.front();
    QuotaDecision decision;
    const auto blocked = aAccount.pool_.BlockedFor(aNow);
    if (const auto expiresAt = aAccount.pool_.TrySpend(aNow)) {
      decision = { QuotaDecision::Result::kAdmitted, {}, *expiresAt };
    } else if (blocked) {
      decision = { QuotaDecision::Result::kOverQuota, *blocked, {} };
    } else if (aNow >= waiter.deadline_) {
      const bool hasNoGrantor =
        aAccount.unansweredSince_ && aNow - *aAccount.unansweredSince_ >= kReplyTimeout;
      const bool isAdmitted = hasNoGrantor && aAccount.pool_.TrySpendAutonomously(
                                                AutonomousShare(aAccount), rule_.window_, aNow);
      decision = { isAdmitted ? QuotaDecision::Result::kAdmitted
                              : QuotaDecision::Result::kUnavailable,
                   kUnavailableRetryAfter,
                   {} };
    } else {
      return;
    }
    const Callback callback = std::move(waiter.callback_);
    aAccount.waiters_.pop_front();
    Decide(callback, decision);
  }
}

void QuotaTask::SetMembers(const peer::Members& aMembers, std::size_t aUnmetCount)
{
  const peer::Members ranked = RankGrantors(aMembers);
  candidates_.clear();
  bool isCandidate = false;
  for (std::size_t i = 0; i < std::min(kCandidates, ranked.size()); ++i) {
    candidates_.push_back(ranked[i].address_);
    isCandidate = isCandidate || ranked[i].instance_ == self_.instance_;
  }
  grantor_.SetCandidate(isCandidate);
  grantor_.SetMembers(aMembers, aUnmetCount);
  knownMembers_ = std::max<std::size_t>(1, aMembers.size());
  memberIndex_ = static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [&](const peer::Member& aMember) {
      return aMember.instance_ < self_.instance_;
    }));
}

void QuotaTask::OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_quota_request()) {
    counters_.Add("quota_messages_total{direction=\"received\"}");
    OnRequest(aFrom, common::InstanceId(aEnvelope.sender()), aEnvelope.quota_request());
  } else if (aEnvelope.has_quota_reply()) {
    OnReply(common::Address(aEnvelope.sender_address()), aEnvelope.quota_reply());
  }
}

void QuotaTask::OnRequest(const peer::PeerRef& aFrom,
                          const common::InstanceId& aRequester,
                          const peer::wire::QuotaRequest& aRequest)
{
  peer::wire::Envelope envelope;
  peer::wire::QuotaReply& reply = *envelope.mutable_quota_reply();
  reply.set_sequence(aRequest.sequence());
  reply.set_is_owner(grantor_.Issue(aRequester, aRequest, reply, common::BootNow()));
  reply.set_generation(owners_.Generation());
  if (aRequest.generation() < owners_.Generation() || !reply.is_owner()) {
    for (const auto& [partition, address] : owners_.All()) {
      peer::wire::QuotaOwner& owner = *reply.add_owners();
      owner.set_partition(partition);
      owner.set_address(address.Get());
    }
  }
  transport_.Send(aFrom, envelope);
}

void QuotaTask::OnReply(const common::Address& aSender, const peer::wire::QuotaReply& aReply)
{
  const auto found = pending_.find(aReply.sequence());
  if (found == pending_.end() || found->second.grantor_ != aSender) {
    return; // Too late: the tokens could not be told from those of a later request.
  }
  const PendingRequest request = std::move(found->second);
  pending_.erase(found);
  OwnerTable::Owners owners;
  for (const peer::wire::QuotaOwner& owner : aReply.owners()) {
    owners[owner.partition()] = common::Address(owner.address());
  }
  if (owners_.Apply(aReply.generation(), std::move(owners))) {
    grantor_.OnOwnersChanged();
  }
  const common::TimePoint now = common::BootNow();
  for (const common::OrganisationName& name : request.organisations_) {
    accounts_.at(name)->pool_.OnNoReply();
  }
  for (const peer::wire::QuotaGrant& grant : aReply.grants()) {
    const auto account = accounts_.find(common::OrganisationName(grant.organisation()));
    if (account == accounts_.end()) {
      continue;
    }
    account->second->unansweredSince_.reset();
    account->second->pool_.OnGrant(
      { grant.granted(), std::chrono::milliseconds(grant.retry_after_ms()) }, request.sentAt_, now);
  }
  for (const common::OrganisationName& name : request.organisations_) {
    ServeWaiters(*accounts_.at(name), now);
  }
  if (!aReply.is_owner()) {
    RequestOwners(now);
  }
}

void QuotaTask::Tick()
{
  const common::TimePoint now = common::BootNow();
  grantor_.Tick(now);
  ExpireRequests(now);
  std::vector<Account*> waiting;
  for (const auto& [name, account] : accounts_) {
    if (!account->waiters_.empty()) {
      waiting.push_back(account.get());
    }
  }
  // A callback may add an account.
  for (Account* account : waiting) {
    ServeWaiters(*account, now);
  }
  SendRequests(now);
  counters_.Set("quota_grantor_partitions", grantor_.PartitionCount(now));
}

void QuotaTask::ExpireRequests(common::TimePoint aNow)
{
  bool isOwnerSilent = false;
  std::erase_if(pending_, [&](const auto& aEntry) {
    const PendingRequest& request = aEntry.second;
    if (aNow - request.sentAt_ < kReplyTimeout) {
      return false;
    }
    for (const common::OrganisationName& name : request.organisations_) {
      accounts_.at(name)->pool_.OnNoReply();
    }
    isOwnerSilent = isOwnerSilent || !request.organisations_.empty();
    return true;
  });
  if (isOwnerSilent) {
    RequestOwners(aNow);
  }
}

void QuotaTask::SendRequests(common::TimePoint aNow)
{
  std::map<common::Address, peer::wire::QuotaRequest> requests;
  std::map<common::Address, std::vector<common::OrganisationName>> organisations;
  bool lacksOwner = false;
  for (const auto& [name, account] : accounts_) {
    const common::Address* owner = owners_.OwnerOf(name);
    if (owner == nullptr) {
      if (!account->waiters_.empty()) {
        lacksOwner = true;
        account->unansweredSince_ = account->unansweredSince_.value_or(aNow);
      }
      continue;
    }
    const auto next = account->pool_.NextRequest(account->waiters_.size(), aNow);
    if (!next) {
      continue;
    }
    peer::wire::QuotaItem& item = *requests[*owner].add_items();
    item.set_organisation(name.Get());
    item.set_wanted(next->wanted_);
    item.set_demand_milli_per_s(static_cast<std::uint32_t>(next->demandPerSecond_ * kMilli));
    account->unansweredSince_ = account->unansweredSince_.value_or(aNow);
    organisations[*owner].push_back(name);
  }
  for (auto& [address, request] : requests) {
    SendRequest(address, std::move(request), std::move(organisations[address]), aNow);
  }
  if (lacksOwner) {
    RequestOwners(aNow);
  }
}

void QuotaTask::RequestOwners(common::TimePoint aNow)
{
  if (candidates_.empty() || aNow - ownersRequestedAt_ < kOwnersRequestInterval) {
    return;
  }
  ownersRequestedAt_ = aNow;
  const common::Address& candidate = candidates_[nextCandidate_++ % candidates_.size()];
  if (candidate != self_.address_) {
    SendRequest(candidate, {}, {}, aNow);
  }
}

void QuotaTask::SendRequest(const common::Address& aGrantor,
                            peer::wire::QuotaRequest aRequest,
                            std::vector<common::OrganisationName> aOrganisations,
                            common::TimePoint aNow)
{
  aRequest.set_sequence(++sequence_);
  aRequest.set_generation(owners_.Generation());
  pending_[sequence_] = { aGrantor, aNow, std::move(aOrganisations) };
  counters_.Add("quota_messages_total{direction=\"sent\"}");
  peer::wire::Envelope envelope;
  if (aGrantor == self_.address_) {
    peer::wire::QuotaReply reply;
    reply.set_sequence(sequence_);
    reply.set_is_owner(grantor_.Issue(self_.instance_, aRequest, reply, aNow));
    reply.set_generation(owners_.Generation());
    OnReply(aGrantor, reply);
    return;
  }
  *envelope.mutable_quota_request() = std::move(aRequest);
  sender_.Send(aGrantor, peer::ControlKind::kSpreading, envelope);
}

nlohmann::json QuotaTask::Dump() const
{
  const common::TimePoint now = common::BootNow();
  nlohmann::json accounts = nlohmann::json::array();
  for (const auto& [name, account] : accounts_) {
    accounts.push_back({ { "organisation", name.Get() },
                         { "rate_per_s", account->limits_.Rate() },
                         { "capacity", account->limits_.Capacity() },
                         { "tokens", account->pool_.TokenCount(now) },
                         { "demand_per_s", account->pool_.DemandPerSecond(now) },
                         { "waiting", account->waiters_.size() } });
  }
  return { { "generation", owners_.Generation() },
           { "partitions", grantor_.PartitionCount(now) },
           { "accounts", std::move(accounts) } };
}

} // namespace dandelionstand::quota
