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

//! A log stream in memory, as the platform keeps it.
struct FakeStream
{
  std::vector<std::string> records_;
  std::uint64_t first_ = 1;

  std::uint64_t Next() const { return first_ + records_.size(); }

  platform::ReadResult Read(common::Offset aFrom) const
  {
    platform::ReadResult result;
    result.firstOffset_ = common::Offset(first_);
    result.endOffset_ = common::Offset(Next());
    result.status_ = aFrom.Get() < first_ ? platform::LogStatus::kGap : platform::LogStatus::kOk;
    for (std::uint64_t offset = aFrom.Get();
         result.status_ == platform::LogStatus::kOk && offset < Next();
         ++offset) {
      result.records_.push_back({ common::Offset(offset), records_[offset - first_] });
    }
    return result;
  }

  void DropAll()
  {
    first_ = Next();
    records_.clear();
  }
};

//! One daemon's claims on the stream, with its requests to the log under way.
class Claimant
{
public:
  Claimant(std::uint64_t aIncarnation, FakeStream& aStream)
    : stream_(aStream)
    , claims_(MakeSettings(aIncarnation))
  {
  }

  void Claim(std::uint64_t aNumber, std::uint64_t aKey)
  {
    Take(claims_.Claim(ClaimNumber(aNumber), { 0, aKey }, Now(), WallMs()));
  }
  void Release(std::uint64_t aNumber)
  {
    Take(claims_.Release(ClaimNumber(aNumber), Now(), WallMs()));
  }
  void Pass(common::Duration aTime)
  {
    passed_ += aTime;
    if (hasParked_) {
      // The wait of the long poll ends.
      hasParked_ = false;
      Take(claims_.OnRead(parked_.generation_, stream_.Read(parked_.from_), Now(), WallMs()));
    }
    Take(claims_.Tick(Now(), WallMs()));
  }

  //! Answers the requests under way; a lost append takes effect without an answer.
  void Answer(platform::LogStatus aStatus = platform::LogStatus::kOk, bool aLosesAnswers = false)
  {
    while (!requests_.empty()) {
      const ClaimAction request = requests_.front();
      requests_.pop_front();
      AnswerOne(request, aStatus, aLosesAnswers);
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
  static ClaimSettings MakeSettings(std::uint64_t aIncarnation)
  {
    ClaimSettings settings;
    settings.self_ = { common::InstanceId("i" + std::to_string(aIncarnation)),
                       common::Incarnation(aIncarnation),
                       common::Address("127.0.0.1:1"),
                       {} };
    return settings;
  }

  common::TimePoint Now() const { return common::TimePoint(1h) + passed_; }
  std::uint64_t WallMs() const
  {
    return kWallStartMs + static_cast<std::uint64_t>(passed_.count()) / 1000;
  }

  void AnswerOne(const ClaimAction& aRequest, platform::LogStatus aStatus, bool aLosesAnswers)
  {
    const bool isOk = aStatus == platform::LogStatus::kOk;
    if (const auto* append = std::get_if<AppendClaims>(&aRequest)) {
      ++appends_;
      platform::AppendResult result;
      result.status_ = aLosesAnswers ? platform::LogStatus::kUnavailable : aStatus;
      result.offset_ = common::Offset(stream_.Next());
      if (isOk) {
        stream_.records_.push_back(append->record_);
      }
      Take(claims_.OnAppended(append->generation_, result, Now(), WallMs()));
      return;
    }
    const auto& read = std::get<ReadClaims>(aRequest);
    platform::ReadResult result;
    result.status_ = aStatus;
    if (isOk) {
      result = stream_.Read(read.from_);
    }
    if (isOk && result.records_.empty() && result.status_ == platform::LogStatus::kOk &&
        read.wait_ > 0s) {
      parked_ = read;
      hasParked_ = true;
      return;
    }
    Take(claims_.OnRead(read.generation_, result, Now(), WallMs()));
  }

  void Take(const ClaimActions& aActions)
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
    // A long poll ends when a record appears.
    if (hasParked_ && parked_.from_.Get() < stream_.Next()) {
      hasParked_ = false;
      requests_.push_back(parked_);
    }
  }

  FakeStream& stream_;
  Claims claims_;
  common::Duration passed_{ 0 };
  std::deque<ClaimAction> requests_;
  ReadClaims parked_;
  bool hasParked_ = false;
};

void Settle(Claimant& aClaimant)
{
  for (int i = 0; i < 50; ++i) {
    aClaimant.Answer();
    aClaimant.Pass(10ms);
  }
}

} // namespace

TEST_CASE("The first claim of a key wins and the second hears who holds it", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  Claimant two(2, stream);
  one.Claim(1, 42);
  two.Claim(1, 42);
  Settle(one);
  Settle(two);
  CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
  CHECK(two.won_.empty());
  CHECK(two.lostTo_ == std::map<std::uint64_t, std::uint64_t>{ { 1, 1 } });
  SECTION("also to a daemon that came later")
  {
    Claimant three(3, stream);
    three.Claim(1, 42);
    Settle(three);
    CHECK(three.lostTo_.at(1) == 1);
    CHECK(three.appends_ == 0);
  }
  SECTION("until the claim is released")
  {
    one.Release(1);
    Settle(one);
    Settle(two);
    two.Claim(2, 42);
    Settle(two);
    CHECK(two.won_ == std::set<std::uint64_t>{ 2 });
  }
}

TEST_CASE("Claims that wait together travel in one record", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 1);
  for (std::uint64_t number = 2; number <= 50; ++number) {
    one.Claim(number, number);
  }
  Settle(one);
  CHECK(one.won_.size() == 50);
  CHECK(stream.records_.size() == 1);
}

TEST_CASE("A lost append answer is settled by reading", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  one.Answer();
  one.Pass(60ms);
  one.Claim(2, 43);
  one.Answer(platform::LogStatus::kOk, true);
  one.Pass(250ms);
  Settle(one);
  CHECK(one.won_ == std::set<std::uint64_t>{ 1, 2 });
  CHECK(stream.records_.size() == 2);
}

TEST_CASE("While the log is away claims are refused and never won later", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  one.Answer(platform::LogStatus::kUnavailable);
  CHECK(one.refused_ == std::map<std::uint64_t, std::string>{ { 1, "log-away" } });
  one.Claim(2, 43);
  CHECK(one.refused_.at(2) == "log-away");
  one.Pass(300ms);
  Settle(one);
  CHECK(one.won_.empty());
  one.Claim(3, 42);
  Settle(one);
  CHECK(one.won_ == std::set<std::uint64_t>{ 3 });
}

TEST_CASE("A claim that was refused before its record was seen frees its key", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 1);
  Settle(one);
  one.Claim(2, 42);
  one.Answer(platform::LogStatus::kOk, true);
  one.Pass(1100ms);
  CHECK(one.refused_.contains(2));
  Settle(one);
  CHECK_FALSE(one.won_.contains(2));
  Claimant two(2, stream);
  two.Claim(1, 42);
  Settle(two);
  CHECK(two.won_.contains(1));
}

TEST_CASE("Without the records of the window no claim is won", "[caller][claims]")
{
  FakeStream stream;
  Claimant one(1, stream);
  one.Claim(1, 42);
  Settle(one);
  SECTION("for a daemon that missed a record")
  {
    Claimant two(2, stream);
    two.Claim(1, 7);
    Settle(two);
    stream.DropAll();
    Settle(one);
    one.Claim(2, 7);
    Settle(one);
    CHECK(one.refused_.contains(2));
    one.Pass(std::chrono::milliseconds(kWindowMs));
    // The read that was under way for all that time counted as a failure of the log.
    one.Pass(4s);
    Settle(one);
    one.Claim(3, 7);
    Settle(one);
    CHECK(one.won_.contains(3));
  }
  SECTION("for a daemon whose stream begins anew")
  {
    stream = FakeStream();
    one.Pass(3s);
    Settle(one);
    one.Claim(2, 7);
    Settle(one);
    CHECK(one.won_ == std::set<std::uint64_t>{ 1 });
    CHECK(one.refused_.contains(2));
  }
  SECTION("for a newcomer that finds a record which knew of lost ones")
  {
    stream.DropAll();
    one.Claim(2, 43);
    Settle(one);
    REQUIRE(stream.records_.size() == 1);
    Claimant two(2, stream);
    two.Claim(1, 42);
    Settle(two);
    CHECK(two.won_.empty());
    CHECK(two.refused_.contains(1));
  }
}

TEST_CASE("No key is won twice, whatever is lost on the way", "[caller][claims]")
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
    const std::size_t who = random() % claimants.size();
    Claimant& claimant = *claimants[who];
    switch (random() % 6) {
      case 0: {
        const std::uint64_t key = random() % 200;
        keys[who][++numbers[who]] = key;
        claimant.Claim(numbers[who], key);
        break;
      }
      case 1:
        claimant.Answer(platform::LogStatus::kOk, true);
        break;
      case 2:
        claimant.Answer(random() % 2 == 0 ? platform::LogStatus::kUnavailable
                                          : platform::LogStatus::kOverloaded);
        break;
      case 3:
        claimant.Pass(common::Duration(random() % 300'000));
        break;
      default:
        claimant.Answer();
        break;
    }
  }
  std::map<std::uint64_t, int> wins;
  std::size_t total = 0;
  for (std::size_t who = 0; who < claimants.size(); ++who) {
    for (const std::uint64_t number : claimants[who]->won_) {
      ++wins[keys[who].at(number)];
      ++total;
    }
  }
  CHECK(total > 20);
  for (const auto& [key, count] : wins) {
    INFO("seed " << seed << " key " << key);
    CHECK(count == 1);
  }
}
