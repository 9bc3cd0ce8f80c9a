#include "dandelionstand/peer/Member.h"

#include "dandelionstand/peer/generated/membership.pb.h"

#include <tuple>

namespace dandelionstand::peer {

namespace {

MemberStatus ParseStatus(wire::MemberState aState)
{
  switch (aState) {
    case wire::SUSPECT:
      return MemberStatus::kSuspect;
    case wire::LEAVING:
      return MemberStatus::kLeaving;
    case wire::DEAD:
      return MemberStatus::kDead;
    default:
      return MemberStatus::kAlive;
  }
}

wire::MemberState ToWire(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return wire::ALIVE;
    case MemberStatus::kLeaving:
      return wire::LEAVING;
    case MemberStatus::kSuspect:
      return wire::SUSPECT;
    case MemberStatus::kDead:
      return wire::DEAD;
  }
  return wire::ALIVE;
}

} // namespace

bool MergeWithdrawal(Member& aMember, const TargetWithdrawal& aWithdrawal)
{
  const bool isLater = aWithdrawal > aMember.withdrawal_;
  if (isLater) {
    aMember.withdrawal_ = aWithdrawal;
  }
  return isLater;
}

bool Supersedes(const Member& aIncoming, const Member& aCurrent)
{
  const auto orderOf = [](const Member& aMember) {
    return std::tie(aMember.generation_, aMember.incarnation_, aMember.revision_, aMember.status_);
  };
  return orderOf(aIncoming) > orderOf(aCurrent);
}

Member ParseMember(const wire::Member& aWire)
{
  Member member;
  member.instance_ = common::InstanceId(aWire.instance());
  member.incarnation_ = common::Incarnation(aWire.incarnation());
  member.generation_ = aWire.generation() > 0 ? aWire.generation() : aWire.incarnation();
  member.address_ = common::Address(aWire.address());
  member.failureDomain_ = common::FailureDomain(aWire.failure_domain());
  member.region_ = common::Region(aWire.region());
  member.status_ = ParseStatus(aWire.state());
  member.service_ = common::ServiceName(aWire.service());
  member.revision_ = aWire.revision();
  member.configVersion_ = common::Version(aWire.config_version());
  member.acceptsDeferredBodies_ = aWire.accepts_deferred_bodies();
  member.cpuMilli_ = aWire.cpu_milli();
  member.hasStopped_ = aWire.has_stopped();
  if (aWire.withdrawal_number() > 0) {
    member.withdrawal_ = { aWire.withdrawal_number(),
                           { aWire.withdrawn_target_id(),
                             aWire.withdrawn_target_started_at_ms() } };
  }
  return member;
}

void WriteMember(const Member& aMember, wire::Member& aWire)
{
  aWire.set_instance(aMember.instance_.Get());
  aWire.set_incarnation(aMember.incarnation_.Get());
  aWire.set_generation(aMember.generation_);
  aWire.set_address(aMember.address_.Get());
  aWire.set_failure_domain(aMember.failureDomain_.Get());
  aWire.set_region(aMember.region_.Get());
  aWire.set_state(ToWire(aMember.status_));
  aWire.set_service(aMember.service_.Get());
  aWire.set_revision(aMember.revision_);
  aWire.set_config_version(aMember.configVersion_.Get());
  aWire.set_accepts_deferred_bodies(aMember.acceptsDeferredBodies_);
  aWire.set_cpu_milli(aMember.cpuMilli_);
  aWire.set_has_stopped(aMember.hasStopped_);
  if (aMember.withdrawal_.number_ > 0) {
    aWire.set_withdrawal_number(aMember.withdrawal_.number_);
    aWire.set_withdrawn_target_id(aMember.withdrawal_.target_.incarnationId_);
    aWire.set_withdrawn_target_started_at_ms(aMember.withdrawal_.target_.startedAtMs_);
  }
}

const char* ToText(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kLeaving:
      return "leaving";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kDead:
      return "dead";
  }
  return "unknown";
}

} // namespace dandelionstand::peer
