// Whole sessions of the decisions: typed events in, typed actions out, compared with approved
// files.
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
    return "send to=" + send->to_.Get() + " " + Describe(send->update_);
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
    text << "send to=" << send->to_.Get() << " " << Describe(send->message_);
  } else if (const auto* snapshot = std::get_if<peer::SendSnapshot>(&aAction)) {
    text << "send-snapshot to=" << snapshot->to_.Get();
  } else if (const auto* apply = std::get_if<peer::ApplyRecords>(&aAction)) {
    text << "apply from=" << apply->records_.front().offset_.Get()
         << " to=" << apply->records_.back().offset_.Get();
  } else if (const auto* restore = std::get_if<peer::ApplySnapshot>(&aAction)) {
    text << "apply-snapshot through=" << restore->through_.Get();
  } else if (const auto* skip = std::get_if<peer::SkipTo>(&aAction)) {
    text << "skip-to first=" << skip->first_.Get();
  } else if (const auto* read = std::get_if<peer::ReadLog>(&aAction)) {
    text << "read-log from=" << read->from_.Get() << " wait_us=" << read->wait_.count();
  }
  return text.str();
}

//! Feeds events to a machine and writes down what goes in and what comes out.
template<typename Machine, typename Event>
class Session
{
public:
  explicit Session(Machine aMachine, common::TimePoint aStart)
    : machine_(std::move(aMachine))
    , now_(aStart)
  {
  }

  void In(const std::string& aName, const Event& aEvent)
  {
    text_ << "at_ms="
          << std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()
          << " in " << aName << "\n";
    Out(machine_.Handle(aEvent, now_));
  }
  //! Ticks; only those that lead to actions are written.
  void Run(common::Duration aTime, const Event& aTick)
  {
    for (const common::TimePoint end = now_ + aTime; now_ < end;) {
      now_ += 50ms;
      const auto actions = machine_.Handle(aTick, now_);
      if (!actions.empty()) {
        text_
          << "at_ms="
          << std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()
          << " in tick\n";
        Out(actions);
      }
    }
  }
  std::string Text() const { return text_.str(); }

private:
  template<typename Actions>
  void Out(const Actions& aActions)
  {
    for (const auto& action : aActions) {
      text_ << "  out " << Describe(action) << "\n";
    }
  }

  Machine machine_;
  common::TimePoint now_;
  std::ostringstream text_;
};

peer::SpreadingReceived From(const std::string& aName, peer::wire::SpreadingMessage aMessage)
{
  return { common::InstanceId(aName), common::Address(aName + ":1"), std::move(aMessage) };
}

peer::wire::SpreadingMessage Push(std::uint64_t aFirst, std::uint64_t aLast)
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
  session.In("answer to join from r1a-1", message("r1a-1", answer));
  session.In("target announced", peer::TargetAnnounced{ common::ServiceName("katalog") });
  session.Run(4s, peer::MembershipTick{});

  peer::wire::MembershipUpdate claim;
  peer::Member dead = MakeMember("r1a-0", "r1a");
  dead.revision_ = 1;
  dead.status_ = peer::MemberStatus::kDead;
  peer::WriteMember(dead, *claim.add_members());
  session.In("claim that this member is dead", message("r1a-2", claim));
  session.In("target leaving", peer::TargetLeaving{});
  session.Run(200ms, peer::MembershipTick{});
  session.In("daemon stopping", peer::DaemonStopping{});
  tests::CheckGolden("peer/membership-session.txt", session.Text());
}

TEST_CASE("Golden session: records pushed, crossed, repeated, fetched and read by a stand-in",
          "[golden][spreading]")
{
  const common::TimePoint start(1s);
  Session<peer::Spreading, peer::SpreadingEvent> session(
    peer::Spreading(MakeMember("r1a-1", "r1a"), {}, start, std::mt19937_64(kSeed)), start);
  peer::Members members;
  for (const char* name : { "r1a-0", "r1a-1", "r1a-2", "r1b-0", "r2a-0" }) {
    members.push_back(MakeMember(name, std::string(name).substr(0, 3)));
  }
  session.In("members known", peer::MembersKnown{ members, true });
  session.In("push of 1 to 3", From("r1a-0", Push(1, 3)));
  session.In("the same push again", From("r1b-0", Push(1, 3)));
  session.In("push of 5, which has overtaken 4", From("r1a-0", Push(5, 5)));
  peer::wire::SpreadingMessage reply = Push(4, 5);
  reply.set_kind(peer::wire::REPLY);
  reply.clear_origin();
  session.In("reply with 4 and 5", From("r1a-0", reply));
  peer::wire::SpreadingMessage old;
  old.set_kind(peer::wire::REPLY);
  old.mutable_snapshot()->set_through(2);
  session.In("snapshot through 2", From("r1b-0", old));
  peer::wire::SpreadingMessage fetch;
  fetch.set_kind(peer::wire::FETCH);
  fetch.set_position(3);
  session.In("fetch from r1a-2 at 3", From("r1a-2", fetch));
  session.Run(4s, peer::SpreadingTick{});
  platform::ReadResult read;
  read.status_ = platform::LogStatus::kOk;
  read.firstOffset_ = common::Offset(1);
  read.endOffset_ = common::Offset(7);
  read.records_ = { { common::Offset(6), "six" } };
  session.In("log read with 6", peer::LogRead{ 1, read });
  session.Run(1500ms, peer::SpreadingTick{});
  tests::CheckGolden("peer/spreading-session.txt", session.Text());
}
