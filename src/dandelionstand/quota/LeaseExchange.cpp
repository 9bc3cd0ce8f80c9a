#include "dandelionstand/quota/LeaseExchange.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Milliseconds.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::quota {

namespace {

//! Between checks for members that have been unresponsive for too long to vote.
constexpr common::Duration kRegistryInterval = std::chrono::seconds(1);
//! What is longer need not be told apart; far above a window of a quota.
constexpr common::Duration kMaxQuiet = std::chrono::hours(24);

LeaseQuery ParseQuery(const peer::wire::QuotaLeaseQuery& aWire)
{
  return { .sequence_ = aWire.sequence(),
           .generation_ = aWire.generation(),
           .isTakeover_ = aWire.is_takeover(),
           .partitions_ = { aWire.partitions().begin(), aWire.partitions().end() } };
}

LeaseVote ParseVote(const peer::wire::QuotaLeaseVote& aWire)
{
  LeaseVote vote{ .sequence_ = aWire.sequence(),
                  .isGranted_ = aWire.is_granted(),
                  .quietFor_ = std::chrono::milliseconds(aWire.quiet_for_ms()),
                  .voterCount_ = aWire.voter_count() };
  for (const peer::wire::QuotaLeasePromise& promise : aWire.promises()) {
    vote.promises_.push_back(
      { common::Address(promise.holder()), std::chrono::milliseconds(promise.remaining_ms()) });
  }
  return vote;
}

void WriteVote(const LeaseVote& aVote, peer::wire::QuotaLeaseVote& aWire)
{
  aWire.set_sequence(aVote.sequence_);
  aWire.set_is_granted(aVote.isGranted_);
  aWire.set_quiet_for_ms(
    static_cast<std::uint32_t>(common::ToMilliseconds(std::min(aVote.quietFor_, kMaxQuiet))));
  aWire.set_voter_count(static_cast<std::uint32_t>(aVote.voterCount_));
  for (const LeasePromise& promise : aVote.promises_) {
    peer::wire::QuotaLeasePromise& written = *aWire.add_promises();
    written.set_holder(promise.holder_.Get());
    // Rounded up, so that the promise does not seem to end earlier.
    written.set_remaining_ms(
      static_cast<std::uint32_t>(common::ToMilliseconds(promise.remaining_)) + 1);
  }
}

} // namespace

LeaseExchange::LeaseExchange(common::Counters& aCounters,
                             peer::ControlSender& aSender,
                             peer::Transport& aTransport,
                             const peer::Member& aSelf,
                             GrantorLease& aLease)
  : counters_(aCounters)
  , sender_(aSender)
  , transport_(aTransport)
  , self_(aSelf)
  , lease_(aLease)
  , negotiation_(aLease, aSelf.incarnation_.Get())
  , voter_(common::BootNow())
  , members_({ aSelf })
{
  aTransport.Received().connect(sigc::mem_fun(*this, &LeaseExchange::OnEnvelope));
}

void LeaseExchange::SetMembers(const peer::Members& aMembers, std::size_t aUnmetCount)
{
  members_ = aMembers;
  unmetCount_ = aUnmetCount;
  registryUpdatedAt_ = common::TimePoint();
}

void LeaseExchange::SetOwners(const OwnerTable& aOwners)
{
  std::set<common::Address> others;
  for (const auto& [partition, address] : aOwners.All()) {
    if (address != self_.address_ && !address.Get().empty()) {
      others.insert(address);
    }
  }
  negotiation_.SetOtherOwners(aOwners.Generation(), std::move(others));
}

void LeaseExchange::Tick(common::TimePoint aNow)
{
  if (aNow - registryUpdatedAt_ >= kRegistryInterval) {
    registryUpdatedAt_ = aNow;
    voters_ = registry_.Update(members_, unmetCount_, aNow);
    negotiation_.SetVoters(voters_);
  }
  const std::size_t ended = lease_.Tick(aNow);
  if (ended > 0) {
    counters_.Add("quota_leases_ended_total");
    common::LogEvent(common::Severity::kWarn,
                     "quota_lease_ended",
                     { { "generation", lease_.Generation() }, { "partitions", ended } });
  }
  for (const LeaseQuery& query : negotiation_.Tick(aNow)) {
    counters_.Add(query.isTakeover_ ? "quota_lease_queries_total{kind=\"takeover\"}"
                                    : "quota_lease_queries_total{kind=\"extension\"}");
    SendToVoters(query);
    negotiation_.OnVote(self_.instance_, self_.address_, Vote(self_.address_, query, aNow), aNow);
  }
  Report();
}

void LeaseExchange::SendToVoters(const LeaseQuery& aQuery)
{
  for (const peer::Member& member : members_) {
    if (member.instance_ == self_.instance_ || !voters_.instances_.contains(member.instance_)) {
      continue;
    }
    peer::wire::Envelope envelope;
    peer::wire::QuotaLeaseQuery& query = *envelope.mutable_quota_lease_query();
    query.set_sequence(aQuery.sequence_);
    query.set_generation(aQuery.generation_);
    query.set_is_takeover(aQuery.isTakeover_);
    for (const std::uint32_t partition : aQuery.partitions_) {
      query.add_partitions(partition);
    }
    sender_.Send(member.address_, peer::ControlKind::kSpreading, envelope);
  }
}

LeaseVote LeaseExchange::Vote(const common::Address& aHolder,
                              const LeaseQuery& aQuery,
                              common::TimePoint aNow)
{
  const bool isOwn = aHolder == self_.address_;
  const bool yields =
    isOwn || !aQuery.isTakeover_ || lease_.Yield(aQuery.generation_, aQuery.partitions_);
  LeaseVote vote =
    yields ? voter_.Vote(aHolder, aQuery, aNow) : LeaseVote{ .sequence_ = aQuery.sequence_ };
  vote.voterCount_ = voters_.instances_.size();
  return vote;
}

void LeaseExchange::OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope)
{
  const common::TimePoint now = common::BootNow();
  const common::Address sender(aEnvelope.sender_address());
  if (aEnvelope.has_quota_lease_query()) {
    peer::wire::Envelope reply;
    WriteVote(Vote(sender, ParseQuery(aEnvelope.quota_lease_query()), now),
              *reply.mutable_quota_lease_vote());
    transport_.Send(aFrom, reply);
  } else if (aEnvelope.has_quota_lease_vote()) {
    negotiation_.OnVote(
      common::InstanceId(aEnvelope.sender()), sender, ParseVote(aEnvelope.quota_lease_vote()), now);
  }
}

void LeaseExchange::Report()
{
  const LeaseOutcomes& outcomes = negotiation_.Outcomes();
  const LeaseOutcomes earlier = std::exchange(reported_, outcomes);
  if (outcomes.extensions_ > earlier.extensions_) {
    counters_.Set("quota_lease_extensions_total", outcomes.extensions_);
  }
  const std::size_t byVotes = outcomes.takenOverByVotes_ - earlier.takenOverByVotes_;
  const std::size_t byTime = outcomes.takenOverByTime_ - earlier.takenOverByTime_;
  if (byVotes + byTime > 0) {
    counters_.Set("quota_takeovers_total{by=\"votes\"}", outcomes.takenOverByVotes_);
    counters_.Set("quota_takeovers_total{by=\"time\"}", outcomes.takenOverByTime_);
    common::LogEvent(
      common::Severity::kInfo,
      "quota_partitions_taken_over",
      { { "generation", lease_.Generation() }, { "by_votes", byVotes }, { "by_time", byTime } });
  }
}

} // namespace dandelionstand::quota
