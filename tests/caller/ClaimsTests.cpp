#include "dandelionstand/caller/Claims.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace dandelionstand;
using namespace dandelionstand::caller;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kWallStartMs = 1'800'000'000'000;
constexpr std::uint64_t kWindowMs = 600'000;

//! A stream of the platform's log, in memory.
struct FakeStream
{
  std::vector<std::string> records_;
  std::uint64_t first_ = 1;

  std::uint64_t NextOffset() const { return first_ + records_.size(); }

  platform::ReadResult Read(common::Offset aFrom) const
  {
    platform::ReadResult result;
    result.firstOffset_ = common::Offset(first_);
    result.endOffset_ = common::Offset(NextOffset());
    result.status_ = aFrom.Get() < first_ ? platform::LogStatus::kGap : platform::LogStatus::kOk;
    for (std::uint64_t offset = aFrom.Get();
         result.status_ == platform::LogStatus::kOk && offset < NextOffset();
         ++offset) {
      result.records_.push_back({ common::Offset(offset), records_[offset - first_] });
    }
    return result;
  }

  void TrimAll()
  {
    first_ = NextOffset();
    records_.clear();
  }
};

//! The claims of one daemon, with its log requests that are not answered yet.
class Claimant
{
public:
  Claimant(std::uint64_t aIncarnation, FakeStream& aStream)
    : Claimant("i" + std::to_string(aIncarnation), aIncarnation, aStream)
  {
  }
  Claimant(const std::string& aInstance, std::uint64_t aIncarnation, FakeStream& aStream)
    : stream_(aStream)
    , claims_(MakeSettings(aInstance, aIncarnation))
  {
  }

  void Claim(std::uint64_t aNumber, std::uint64_t aKey)
  {
    ProcessActions(claims_.Claim(ClaimNumber(aNumber), { 0, aKey }, Now(), WallMs()));
  }
  void Release(std::uint64_t aNumber)
  {
    ProcessActions(claims_.Release(ClaimNumber(aNumber), Now(), WallMs()));
  }
  void AdvanceTime(common::Duration aTime)
  {
    elapsed_ += aTime;
    if (hasPendingPoll_) {
      // The long poll times out.
      hasPendingPoll_ = false;
      ProcessActions(claims_.OnRead(
        pendingPoll_.generation_, stream_.Read(pendingPoll_.fromOffset_), Now(), WallMs()));
    }
    ProcessActions(claims_.Tick(Now(), WallMs()));
  }

  //! Answers all pending log requests, or only the first if aStatus is a failure or aLosesAnswers
  //! is set. With aLosesAnswers an append takes effect, but its answer is lost.
  void AnswerRequests(platform::LogStatus aStatus = platform::LogStatus::kOk,
                      bool aLosesAnswers = false)
  {
    while (!requests_.empty()) {
      const ClaimAction request = requests_.front();
      requests_.pop_front();
      AnswerOneRequest(request, aStatus, aLosesAnswers);
      if (aStatus != platform::LogStatus::kOk || aLosesAnswers) {
        return;
      }
    }
  }

  bool HasRequests() const { return !requests_.empty(); }

  std::set<std::uint64_t> won_;
  std::map<std::uint64_t, std::uint64_t> lostTo_;
  std::map<std::uint64_t, std::string> refused_;
  std::size_t appends_ = 0;

private:
  static ClaimSettings MakeSettings(const std::string& aInstance, std::uint64_t aIncarnation)
  {
    ClaimSettings settings;
    settings.self_ = { common::InstanceId(aInstance),
                       common::Incarnation(aIncarnation),
                       common::Address("127.0.0.1:1"),
                       {} };
    return settings;
  }

  common::TimePoint Now() const { return common::TimePoint(1h) + elapsed_; }
  std::uint64_t WallMs() const
  {
    return kWallStartMs + static_cast<std::uint64_t>(elapsed_.count()) / 1000;
  }

  void AnswerOneRequest(const ClaimAction& aRequest,
                        platform::LogStatus aStatus,
                        bool aLosesAnswers)
  {
    const bool isOk = aStatus == platform::LogStatus::kOk;
    if (const auto* append = std::get_if<AppendClaims>(&aRequest)) {
      ++appends_;
      platform::AppendResult result;
      result.status_ = aLosesAnswers ? platform::LogStatus::kUnavailable : aStatus;
      result.offset_ = common::Offset(stream_.NextOffset());
      if (isOk) {
        stream_.records_.push_back(append->record_);
      }
      ProcessActions(claims_.OnAppended(append->generation_, result, Now(), WallMs()));
      return;
    }
    const auto& read = std::get<ReadClaims>(aRequest);
    platform::ReadResult result;
    result.status_ = aStatus;
    if (isOk) {
      result = stream_.Read(read.fromOffset_);
    }
    if (isOk && result.records_.empty() && result.status_ == platform::LogStatus::kOk &&
        read.wait_ > 0s) {
      pendingPoll_ = read;
      hasPendingPoll_ = true;
      return;
    }
    ProcessActions(claims_.OnRead(read.generation_, result, Now(), WallMs()));
  }

  void ProcessActions(const ClaimActions& aActions)
  {
    for (const ClaimAction& action : aActions) {
      if (const auto* won = std::get_if<ClaimWon>(&action)) {
        won_.insert(won->number_.Get());
      } else if (const auto* lost = std::get_if<ClaimLost>(&action)) {
        lostTo_[lost->number_.Get()] = lost->holder_.incarnation_.Get();
      } else if (const auto* refused = std::get_if<ClaimRefused>(&action)) {
        refused_[refused->number_.Get()] = refused->reason_;
      } else {
        requests_.push_back(action);
      }
    }
    // A long poll ends when a record is appended.
    if (hasPendingPoll_ && pendingPoll_.fromOffset_.Get() < stream_.NextOffset()) {
      hasPendingPoll_ = false;
      requests_.push_back(pendingPoll_);
    }
  }

  FakeStream& stream_;
  Claims claims_;
  common::Duration elapsed_{ 0 };
  std::deque<ClaimAction> requests_;
  ReadClaims pendingPoll_;
  bool hasPendingPoll_ = false;
};

void RunUntilIdle(Claimant& aClaimant)
{
  for (int i = 0; i < 50; ++i) {
    aClaimant.AnswerRequests();
    aClaimant.AdvanceTime(10ms);
  }
}

} // namespace

TEST_CASE("A claim of a key that is already held loses and reports the holder", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  Claimant two(2, stream);
  one.Claim(1, 42);
  two.Claim(1, 42);
  RunUntilIdle(one);
  RunUntilIdle(two);
  CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
  CHECK(two.won_.empty());
  CHECK(two.lostTo_ == std::map<std::uint64_t, std::uint64_t>{ { 1, 1 } });
  SECTION("a daemon that starts later loses without an append")
  {
    Claimant three(3, stream);
    three.Claim(1, 42);
    RunUntilIdle(three);
    CHECK(three.lostTo_.at(1) == 1);
    CHECK(three.appends_ == 0);
  }
  SECTION("the key can be claimed again once it is released")
  {
    one.Release(1);
    RunUntilIdle(one);
    RunUntilIdle(two);
    two.Claim(2, 42);
    RunUntilIdle(two);
    CHECK(two.won_ == std::set<std::uint64_t>{ 2 });
  }
}

TEST_CASE("Claims of two daemons that started at the same moment are both decided",
          "[caller][claims]")
{
  FakeStream stream;
  Claimant one("i1", 1, stream);
  Claimant two("i2", 1, stream);
  const auto exchange = [&] {
    for (int round = 0; round < 20; ++round) {
      one.AdvanceTime(50ms);
      one.AnswerRequests();
      two.AdvanceTime(50ms);
      two.AnswerRequests();
    }
  };
  exchange();
  one.Claim(1, 11);
  two.Claim(1, 12);
  exchange();
  CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
  CHECK(two.won_ == std::set<std::uint64_t>{ 1 });
  SECTION("a release frees only the key of the daemon that releases it")
  {
    one.Release(1);
    exchange();
    one.Claim(2, 12);
    exchange();
    CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
    CHECK(one.lostTo_.contains(2));
  }
}

TEST_CASE("Queued claims are appended as one record", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 1);
  for (std::uint64_t number = 2; number <= 50; ++number) {
    one.Claim(number, number);
  }
  RunUntilIdle(one);
  CHECK(one.won_.size() == 50);
  CHECK(stream.records_.size() == 1);
}

TEST_CASE("A claim whose append answer is lost is decided by reading the stream",
          "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  one.AnswerRequests();
  one.AdvanceTime(60ms);
  one.Claim(2, 43);
  one.AnswerRequests(platform::LogStatus::kOk, true);
  one.AdvanceTime(250ms);
  RunUntilIdle(one);
  CHECK(one.won_ == std::set<std::uint64_t>{ 1, 2 });
  CHECK(stream.records_.size() == 2);
}

TEST_CASE("Claims are refused while the log is unavailable and are not won later",
          "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  one.AnswerRequests(platform::LogStatus::kUnavailable);
  CHECK(one.refused_ == std::map<std::uint64_t, std::string>{ { 1, "log-away" } });
  one.Claim(2, 43);
  CHECK(one.refused_.at(2) == "log-away");
  one.AdvanceTime(300ms);
  RunUntilIdle(one);
  CHECK(one.won_.empty());
  one.Claim(3, 42);
  RunUntilIdle(one);
  CHECK(one.won_ == std::set<std::uint64_t>{ 3 });
}

TEST_CASE("A claim that is refused before its record is read releases its key", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 1);
  RunUntilIdle(one);
  one.Claim(2, 42);
  one.AnswerRequests(platform::LogStatus::kOk, true);
  one.AdvanceTime(1100ms);
  CHECK(one.refused_.contains(2));
  RunUntilIdle(one);
  CHECK_FALSE(one.won_.contains(2));
  Claimant two(2, stream);
  two.Claim(1, 42);
  RunUntilIdle(two);
  CHECK(two.won_.contains(1));
}

TEST_CASE("No claim is won while records of the deduplication window may be missing",
          "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  RunUntilIdle(one);
  SECTION("the daemon missed a record that was trimmed")
  {
    Claimant two(2, stream);
    two.Claim(1, 7);
    RunUntilIdle(two);
    stream.TrimAll();
    RunUntilIdle(one);
    one.Claim(2, 7);
    RunUntilIdle(one);
    CHECK(one.refused_.contains(2));
    one.AdvanceTime(std::chrono::milliseconds(kWindowMs));
    // The read in flight has timed out meanwhile, so the log counts as unavailable for 3 s.
    one.AdvanceTime(4s);
    RunUntilIdle(one);
    one.Claim(3, 7);
    RunUntilIdle(one);
    CHECK(one.won_.contains(3));
  }
  SECTION("the stream lost its records and starts over")
  {
    stream = FakeStream();
    one.AdvanceTime(3s);
    RunUntilIdle(one);
    one.Claim(2, 7);
    RunUntilIdle(one);
    CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
    CHECK(one.refused_.contains(2));
  }
  SECTION("a new daemon finds a record whose writer had read records that were trimmed")
  {
    stream.TrimAll();
    one.Claim(2, 43);
    RunUntilIdle(one);
    REQUIRE(stream.records_.size() == 1);
    Claimant two(2, stream);
    two.Claim(1, 42);
    RunUntilIdle(two);
    CHECK(two.won_.empty());
    CHECK(two.refused_.contains(1));
  }
}

TEST_CASE("No key is won twice when log requests and answers fail at random", "[caller][claims]")
{
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
  std::mt19937_64 random(seed);
  FakeStream stream;
  std::vector<std::unique_ptr<Claimant>> claimants;
  std::map<std::uint64_t, std::map<std::uint64_t, std::uint64_t>> keys;
  for (std::uint64_t i = 0; i < 5; ++i) {
    claimants.push_back(std::make_unique<Claimant>(i + 1, stream));
  }
  std::vector<std::uint64_t> numbers(claimants.size(), 0);
  for (int step = 0; step < 3000; ++step) {
    const std::size_t index = random() % claimants.size();
    Claimant& claimant = *claimants[index];
    switch (random() % 6) {
      case 0: {
        const std::uint64_t key = random() % 200;
        keys[index][++numbers[index]] = key;
        claimant.Claim(numbers[index], key);
        break;
      }
      case 1:
        claimant.AnswerRequests(platform::LogStatus::kOk, true);
        break;
      case 2:
        claimant.AnswerRequests(random() % 2 == 0 ? platform::LogStatus::kUnavailable
                                                  : platform::LogStatus::kOverloaded);
        break;
      case 3:
        claimant.AdvanceTime(common::Duration(random() % 300'000));
        break;
      default:
        claimant.AnswerRequests();
        break;
    }
  }
  std::map<std::uint64_t, int> wins;
  std::size_t total = 0;
  for (std::size_t index = 0; index < claimants.size(); ++index) {
    for (const std::uint64_t number : claimants[index]->won_) {
      ++wins[keys[index].at(number)];
      ++total;
    }
  }
  CHECK(total > 20);
  for (const auto& [key, count] : wins) {
    INFO("seed " << seed << " key " << key);
    CHECK(count == 1);
  }
}