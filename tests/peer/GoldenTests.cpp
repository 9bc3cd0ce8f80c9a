// Runs Membership and Spreading through complete sessions and compares their events and actions
// with golden files.
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/peer/Spreading.h"
#include "tests/support/Golden.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace dandelionstand;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 7;

peer::Member MakeMember(const std::string& aName, const std::string& aDomain)
{
  peer::Member member;
  member.instance_ = common::InstanceId(aName);
  member.incarnation_ = common::Incarnation(1);
  member.address_ = common::Address(aName + ":1");
  member.failureDomain_ = common::FailureDomain(aDomain);
  member.region_ = common::Region(aDomain.substr(0, 2));
  return member;
}

std::string Describe(const peer::wire::MembershipUpdate& aUpdate)
{
  std::ostringstream text;
  text << "kind=" << aUpdate.kind() << " sequence=" << aUpdate.sequence();
  for (const peer::wire::Member& member : aUpdate.members()) {
    text << " [" << member.instance() << " incarnation=" << member.incarnation()
         << " revision=" << member.revision() << " state=" << member.state()
         << " service=" << member.service() << "]";
  }
  text << " digests=" << aUpdate.digests_size();
  return text.str();
}

std::string Describe(const peer::MembershipAction& aAction)
{
  if (const auto* send = std::get_if<peer::SendUpdate>(&aAction)) {
    return "send to=" + send->destination_.Get() + " " + Describe(send->update_);
  }
  if (std::holds_alternative<peer::AppendJoinRecord>(aAction)) {
    return "append-join-record";
  }
  return std::holds_alternative<peer::ReadJoinRecords>(aAction) ? "read-join-records"
                                                                : "members-changed";
}

std::string Describe(const peer::wire::SpreadingMessage& aMessage)
{
  std::ostringstream text;
  text << "kind=" << aMessage.kind() << " position=" << aMessage.position()
       << " origin=" << aMessage.origin() << " serves=" << aMessage.serves()
       << " floor=" << aMessage.receiver_floor() << " records=";
  for (const peer::wire::ConfigRecord& record : aMessage.records()) {
    text << record.offset() << ",";
  }
  return text.str();
}

std::string Describe(const peer::SpreadingAction& aAction)
{
  std::ostringstream text;
  if (const auto* send = std::get_if<peer::SendSpreading>(&aAction)) {
    text << "send to=" << send->destination_.Get() << " " << Describe(send->message_);
  } else if (const auto* snapshot = std::get_if<peer::SendSnapshot>(&aAction)) {
    text << "send-snapshot to=" << snapshot->destination_.Get();
  } else if (const auto* apply = std::get_if<peer::ApplyRecords>(&aAction)) {
    text << "apply from=" << apply->records_.front().offset_.Get()
         << " to=" << apply->records_.back().offset_.Get();
  } else if (const auto* restore = std::get_if<peer::ApplySnapshot>(&aAction)) {
    text << "apply-snapshot through=" << restore->lastOffset_.Get();
  } else if (const auto* skip = std::get_if<peer::SkipToOffset>(&aAction)) {
    text << "skip-to first=" << skip->firstRetainedOffset_.Get();
  } else if (const auto* read = std::get_if<peer::ReadLog>(&aAction)) {
    text << "read-log from=" << read->fromOffset_.Get()
         << " wait_us=" << read->pollTimeout_.count();
  }
  return text.str();
}

//! Passes events to a state machine and records the events and the resulting actions as text.
template<typename Machine, typename Event>
class Session
{
public:
  explicit Session(Machine aMachine, common::TimePoint aStart)
    : machine_(std::move(aMachine))
    , now_(aStart)
  {
  }

  void HandleEvent(const std::string& aName, const Event& aEvent)
  {
    text_ << "at_ms="
          << std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()
          << " in " << aName << "\n";
    WriteActions(machine_.Handle(aEvent, now_));
  }
  //! Sends a tick every 50 ms; only ticks that lead to actions are recorded.
  void Run(common::Duration aDuration, const Event& aTick)
  {
    for (const common::TimePoint end = now_ + aDuration; now_ < end;) {
      now_ += 50ms;
      const auto actions = machine_.Handle(aTick, now_);
      if (!actions.empty()) {
        text_
          << "at_ms="
          << std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()
          << " in tick\n";
        WriteActions(actions);
      }
    }
  }
  std::string Text() const { return text_.str(); }

private:
  template<typename Actions>
  void WriteActions(const Actions& aActions)
  {
    for (const auto& action : aActions) {
      text_ << "  out " << Describe(action) << "\n";
    }
  }

  Machine machine_;
  common::TimePoint now_;
  std::ostringstream text_;
};

peer::SpreadingMessageReceived ReceivedFrom(const std::string& aName,
                                            peer::wire::SpreadingMessage aMessage)
{
  return { common::InstanceId(aName), common::Address(aName + ":1"), std::move(aMessage) };
}

peer::wire::SpreadingMessage MakePush(std::uint64_t aFirst, std::uint64_t aLast)
{
  peer::wire::SpreadingMessage message;
  message.set_kind(peer::wire::PUSH);
  message.set_position(aLast);
  message.set_origin("r1a-0");
  message.set_knows_reader(true);
  for (std::uint64_t offset = aFirst; offset <= aLast; ++offset) {
    message.add_records()->set_offset(offset);
  }
  return message;
}

} // namespace

TEST_CASE("Golden session: a member joins, probes, suspects and refutes", "[golden][membership]")
{
  const common::TimePoint start(1s);
  peer::MembershipSettings settings;
  settings.seeds_ = { common::Address("r1a-1:1") };
  Session<peer::Membership, peer::MembershipEvent> session(
    peer::Membership(MakeMember("r1a-0", "r1a"), settings, start, std::mt19937_64(kSeed)), start);
  session.Run(100ms, peer::MembershipTick{});

  peer::wire::MembershipUpdate answer;
  for (const char* name : { "r1a-1", "r1a-2" }) {
    peer::WriteMember(MakeMember(name, "r1a"), *answer.add_members());
  }
  peer::WriteMember(MakeMember("r2a-0", "r2a"), *answer.add_members());
  const auto message = [](const std::string& aName, const peer::wire::MembershipUpdate& aUpdate) {
    return peer::MembershipMessage{ common::InstanceId(aName),
                                    common::Address(aName + ":1"),
                                    aUpdate };
  };
  session.HandleEvent("answer to join from r1a-1", message("r1a-1", answer));
  session.HandleEvent("target announced", peer::TargetAnnounced{ common::ServiceName("katalog") });
  session.Run(4s, peer::MembershipTick{});

  peer::wire::MembershipUpdate claim;
  peer::Member dead = MakeMember("r1a-0", "r1a");
  dead.revision_ = 1;
  dead.status_ = peer::MemberStatus::kDead;
  peer::WriteMember(dead, *claim.add_members());
  session.HandleEvent("claim that this member is dead", message("r1a-2", claim));
  session.HandleEvent("target leaving", peer::TargetLeaving{});
  session.Run(200ms, peer::MembershipTick{});
  session.HandleEvent("daemon stopping", peer::DaemonStopping{});
  tests::CheckGolden("peer/membership-session.txt", session.Text());
}

TEST_CASE(
  "Golden session: records are pushed, duplicated, reordered, fetched and read by a backup reader",
  "[golden][spreading]")
{
  const common::TimePoint start(1s);
  Session<peer::Spreading, peer::SpreadingEvent> session(
    peer::Spreading(MakeMember("r1a-1", "r1a"), {}, start, std::mt19937_64(kSeed)), start);
  peer::Members members;
  for (const char* name : { "r1a-0", "r1a-1", "r1a-2", "r1b-0", "r2a-0" }) {
    members.push_back(MakeMember(name, std::string(name).substr(0, 3)));
  }
  session.HandleEvent("members updated", peer::MembersUpdated{ members, true });
  session.HandleEvent("push of 1 to 3", ReceivedFrom("r1a-0", MakePush(1, 3)));
  session.HandleEvent("the same push again", ReceivedFrom("r1b-0", MakePush(1, 3)));
  session.HandleEvent("push of 5 before 4", ReceivedFrom("r1a-0", MakePush(5, 5)));
  peer::wire::SpreadingMessage reply = MakePush(4, 5);
  reply.set_kind(peer::wire::REPLY);
  reply.clear_origin();
  session.HandleEvent("reply with 4 and 5", ReceivedFrom("r1a-0", reply));
  peer::wire::SpreadingMessage oldSnapshot;
  oldSnapshot.set_kind(peer::wire::REPLY);
  oldSnapshot.mutable_snapshot()->set_through(2);
  session.HandleEvent("snapshot through 2", ReceivedFrom("r1b-0", oldSnapshot));
  peer::wire::SpreadingMessage fetch;
  fetch.set_kind(peer::wire::FETCH);
  fetch.set_position(3);
  session.HandleEvent("fetch from r1a-2 at 3", ReceivedFrom("r1a-2", fetch));
  session.Run(4s, peer::SpreadingTick{});
  platform::ReadResult read;
  read.status_ = platform::LogStatus::kOk;
  read.firstOffset_ = common::Offset(1);
  read.endOffset_ = common::Offset(7);
  read.records_ = { { common::Offset(6), "six" } };
  session.HandleEvent("log read with 6", peer::LogReadCompleted{ 1, read });
  session.Run(1500ms, peer::SpreadingTick{});
  tests::CheckGolden("peer/spreading-session.txt", session.Text());
}