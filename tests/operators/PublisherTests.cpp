#include "dandelionstand/operators/Publisher.h"

#include "dandelionstand/config/Snapshot.h"

#include "FakeLog.h"
#include "PublishSession.h"
#include "support/Golden.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::operators;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

PublishSession::FaultSource OnEveryAppend(AppendFault aFault)
{
  return [aFault] { return aFault; };
}

//! Applies the fault to the first append only.
PublishSession::FaultSource OnFirstAppend(AppendFault aFault)
{
  return [aFault, isFirst = true]() mutable {
    return std::exchange(isFirst, false) ? aFault : AppendFault::kNone;
  };
}

PublishOutcome PublishSlots(FakeLog& aLog, const std::string& aId, std::uint32_t aSlots)
{
  PublishSession session(
    aLog, RequestWithSlots(*aLog.State(), aId, aSlots), OnEveryAppend(AppendFault::kNone));
  return session.Run();
}

std::size_t CountAccepted(const FakeLog& aLog, const std::string& aId)
{
  std::size_t count = 0;
  for (const EvaluatedRecord& evaluated : aLog.Evaluate()) {
    const bool hasId = evaluated.result_.record_.publishId_ == PublishId(aId);
    count += hasId && evaluated.result_.outcome_ == AcceptOutcome::kAccepted ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("A publish reports the version that it created", "[operators][publisher]")
{
  FakeLog log;
  const PublishOutcome outcome = PublishSlots(log, "first", 5);
  CHECK(outcome.verdict_ == PublishVerdict::kAccepted);
  CHECK(outcome.version_ == Version(1));
  CHECK(PublishSlots(log, "second", 5).verdict_ == PublishVerdict::kNoChange);
  CHECK(log.RecordCount() == 1);
}

TEST_CASE("A publish whose append answer was lost is found by its id and not appended again",
          "[operators][publisher][golden]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSession session(
    log, RequestWithSlots(*log.State(), "second", 6), OnEveryAppend(AppendFault::kAnswerLost));
  CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
  CHECK(session.AppendCount() == 1);
  CheckGolden("operators/publish-answer-lost.txt", session.Transcript());
}

TEST_CASE("A publish whose record was lost is appended again after the log was searched for it",
          "[operators][publisher][golden]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSession session(
    log, RequestWithSlots(*log.State(), "second", 6), OnFirstAppend(AppendFault::kRecordLost));
  CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
  CHECK(session.AppendCount() == 2);
  CHECK(session.CurrentTime() >= TimePoint(PublisherSettings().lookupPeriod_));
  CheckGolden("operators/publish-append-lost.txt", session.Transcript());
}

TEST_CASE("A first append that is stored after the second changes nothing",
          "[operators][publisher]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSession session(
    log, RequestWithSlots(*log.State(), "second", 6), OnFirstAppend(AppendFault::kDelayed));
  CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
  PublishSlots(log, "third", 7);
  log.StoreDelayed();
  CHECK(CountAccepted(log, "second") == 1);
  CHECK(log.State()->limits_.at(LimitsName("shop")).value_.slots_ == 7);
}

TEST_CASE("A publish with the id of an earlier publish reports the outcome of that publish",
          "[operators][publisher]")
{
  FakeLog log;
  const PublishRequest request = RequestWithSlots(*log.State(), "first", 5);
  PublishSession(log, request, OnEveryAppend(AppendFault::kNone)).Run();
  PublishSlots(log, "second", 6);
  PublishSession repeated(log, request, OnEveryAppend(AppendFault::kNone));
  CHECK(repeated.Run().verdict_ == PublishVerdict::kAccepted);
  CHECK(repeated.Outcome().version_ == Version(1));
  CHECK(repeated.AppendCount() == 0);
}

TEST_CASE("A lost race reports the resource and the version that won",
          "[operators][publisher][golden]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSession session(
    log, RequestWithSlots(*log.State(), "mine", 6), OnEveryAppend(AppendFault::kNone));
  while (!session.IsAppendNext()) {
    session.Step();
  }
  PublishSlots(log, "theirs", 7);
  CHECK(session.Run().verdict_ == PublishVerdict::kLostRace);
  CHECK(
    session.Outcome().conflicts_ ==
    std::vector<Conflict>{ { { ResourceKind::kLimits, "shop" }, Version(1), Version(2), false } });
  CheckGolden("operators/publish-lost-race.txt", session.Transcript());
}

TEST_CASE("A publish with a base version keeps the later changes of other publishes",
          "[operators][publisher]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishRequest otherRequest = RequestWithSlots(*log.State(), "theirs", 5);
  otherRequest.desiredState_.limits_[LimitsName("other")].value_ = Limits{};
  const PublishRequest ownRequest = [&log] {
    PublishRequest request = RequestWithSlots(*log.State(), "mine", 6);
    request.baseVersion_ = Version(1);
    return request;
  }();
  PublishSession(log, otherRequest, OnEveryAppend(AppendFault::kNone)).Run();
  PublishSession session(log, ownRequest, OnEveryAppend(AppendFault::kNone));
  CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
  CHECK(log.State()->limits_.contains(LimitsName("other")));
  CHECK(log.State()->limits_.at(LimitsName("shop")).value_.slots_ == 6);

  SECTION("a conflict with a later change is found before anything is appended")
  {
    PublishRequest conflictingRequest = RequestWithSlots(*log.State(), "late", 8);
    conflictingRequest.baseVersion_ = Version(1);
    PublishSession conflictingSession(log, conflictingRequest, OnEveryAppend(AppendFault::kNone));
    CHECK(conflictingSession.Run().verdict_ == PublishVerdict::kLostRace);
    CHECK(conflictingSession.AppendCount() == 0);
  }
  SECTION("a base version that never existed is a finding")
  {
    PublishRequest unknownBaseRequest = RequestWithSlots(*log.State(), "wrong", 8);
    unknownBaseRequest.baseVersion_ = Version(77);
    CHECK(
      PublishSession(log, unknownBaseRequest, OnEveryAppend(AppendFault::kNone)).Run().verdict_ ==
      PublishVerdict::kInvalid);
  }
}

TEST_CASE("A log outage ends a publish as unavailable before an append and as unknown after one",
          "[operators][publisher]")
{
  FakeLog log;
  PublishSession session(
    log, RequestWithSlots({}, "first", 5), OnEveryAppend(AppendFault::kAnswerLost));
  SECTION("outage before the append")
  {
    log.SetUnavailable(true);
    CHECK(session.Run().verdict_ == PublishVerdict::kUnavailable);
    CHECK(session.AppendCount() == 0);
  }
  SECTION("outage after the append")
  {
    while (session.AppendCount() == 0) {
      session.Step();
    }
    log.SetUnavailable(true);
    CHECK(session.Run().verdict_ == PublishVerdict::kUnknown);
  }
  SECTION("outage after the append that ends before the deadline")
  {
    while (session.AppendCount() == 0) {
      session.Step();
    }
    log.SetUnavailable(true);
    session.Step();
    session.Step();
    log.SetUnavailable(false);
    CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
    CHECK(session.AppendCount() == 1);
  }
  CHECK(session.CurrentTime() <= TimePoint(PublisherSettings().timeout_ + 2s));
}

TEST_CASE("A publish retries an append that the log's rate limit refused until its deadline",
          "[operators][publisher]")
{
  FakeLog log;
  PublishSession session(
    log, RequestWithSlots({}, "first", 5), OnFirstAppend(AppendFault::kOverloaded));
  CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
  PublishSession overloadedSession(
    log, RequestWithSlots(*log.State(), "second", 6), OnEveryAppend(AppendFault::kOverloaded));
  CHECK(overloadedSession.Run().verdict_ == PublishVerdict::kUnavailable);
}

TEST_CASE("A publish reads a log whose first records were dropped from a snapshot",
          "[operators][publisher][golden]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSlots(log, "second", 6);
  SECTION("the log holds a snapshot")
  {
    log.Append(EncodeSnapshot(*log.State(), Offset(2)), AppendFault::kNone);
    log.DropBefore(Offset(3));
    PublishSession session(
      log, RequestWithSlots(*log.State(), "third", 7), OnEveryAppend(AppendFault::kNone));
    CHECK(session.Run().verdict_ == PublishVerdict::kAccepted);
    CHECK(session.Outcome().version_ == Version(4));
    CheckGolden("operators/publish-after-gap.txt", session.Transcript());
  }
  SECTION("the log holds no snapshot")
  {
    log.DropBefore(Offset(3));
    PublishSession session(
      log, RequestWithSlots(*log.State(), "third", 7), OnEveryAppend(AppendFault::kNone));
    CHECK(session.Run().verdict_ == PublishVerdict::kUnavailable);
    CHECK(session.Outcome().findings_.All().size() == 1);
    CHECK(log.RecordCount() == 2);
  }
}

TEST_CASE("The outcome of a record that was dropped before it was read is determined by a snapshot",
          "[operators][publisher]")
{
  FakeLog log;
  PublishSlots(log, "first", 5);
  PublishSession session(
    log, RequestWithSlots(*log.State(), "second", 6), OnEveryAppend(AppendFault::kNone));
  while (session.AppendCount() == 0) {
    session.Step();
  }
  const bool isOverwritten = GENERATE(false, true);
  if (isOverwritten) {
    PublishSlots(log, "third", 7);
  }
  log.Append(EncodeSnapshot(*log.State(), Offset(log.RecordCount())), AppendFault::kNone);
  log.DropBefore(Offset(log.RecordCount()));
  CHECK(session.Run().verdict_ ==
        (isOverwritten ? PublishVerdict::kUnknown : PublishVerdict::kAccepted));
}

TEST_CASE("Racing publishers report the same outcomes as every reader of the log",
          "[operators][publisher][property]")
{
  std::size_t lostRaces = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    FakeLog log;
    PublishSlots(log, "base", 5);
    const auto fault = [&random] { return static_cast<AppendFault>(random() % 5); };
    std::vector<std::unique_ptr<PublishSession>> sessions;
    const std::size_t publishers = 2 + random() % 4;
    for (std::size_t index = 0; index < publishers; ++index) {
      const std::string id = "p" + std::to_string(index);
      const auto slots = static_cast<std::uint32_t>(10 + index);
      sessions.push_back(
        std::make_unique<PublishSession>(log, RequestWithSlots(*log.State(), id, slots), fault));
    }
    for (std::size_t step = 0; step < 4'000; ++step) {
      PublishSession& session = *sessions[random() % publishers];
      if (!session.IsDone()) {
        session.Step();
      }
      if (random() % 8 == 0) {
        log.StoreDelayed();
      }
      log.SetUnavailable(random() % 16 == 0);
    }
    log.SetUnavailable(false);
    log.StoreDelayed();
    for (std::size_t index = 0; index < publishers; ++index) {
      const std::size_t accepted = CountAccepted(log, "p" + std::to_string(index));
      REQUIRE(accepted <= 1);
      const PublishVerdict verdict = sessions[index]->Run().verdict_;
      if (verdict == PublishVerdict::kAccepted) {
        REQUIRE(accepted == 1);
      }
      if (verdict == PublishVerdict::kLostRace || verdict == PublishVerdict::kUnavailable) {
        REQUIRE(accepted == 0);
      }
      lostRaces += verdict == PublishVerdict::kLostRace ? 1 : 0;
    }
  }
  CHECK(lostRaces > 100);
}