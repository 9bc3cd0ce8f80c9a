#include "dandelionstand/target/FairShareQueue.h"
#include "dandelionstand/target/UrgencyQueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <random>

using namespace dandelionstand;
using namespace dandelionstand::target;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };

AttemptKey Key(std::uint64_t aNumber)
{
  AttemptKey key;
  key.request_ = common::RequestId(aNumber);
  return key;
}

Work MakeWork(std::uint64_t aNumber, common::TimePoint aNow, std::uint32_t aRank = 2)
{
  Work work{ Key(aNumber), config::TrafficClass::kBrowse, aNow + 1500ms };
  work.objective_ = aNow + 600ms;
  work.rank_ = aRank;
  work.route_ = "browse";
  return work;
}

//! Runs one request so that the queue knows how long they take.
void Teach(AdmissionQueue& aQueue, common::Duration aTime)
{
  aQueue.Offer(MakeWork(1'000'000, kStart - 1h), kStart - 1h);
  aQueue.Finished(Key(1'000'000), WorkEnd::kServed, kStart - 1h + aTime);
}

struct ReplayResult
{
  int inTime_ = 0;
  int late_ = 0;
  int refused_ = 0;
  common::Duration longestRefusal_{ 0 }; //!< From the offer to a refusal.
};

//! Plays an overload: work of 220 ms each, arriving aRate times a second for 20 s on 18 slots that
//! can do 82 a second.
ReplayResult PlayOverload(AdmissionQueue& aQueue, int aRate)
{
  aQueue.SetLimits(18, 72, kStart - 1h);
  aQueue.Ready(kStart - 1h, {});
  Teach(aQueue, 220ms);
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int> spread(120, 320);
  using End = std::pair<common::TimePoint, std::uint64_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::map<std::uint64_t, common::TimePoint> offeredAt;
  ReplayResult result;
  const auto apply = [&](const SlotActions& aActions, common::TimePoint aNow) {
    for (const SlotAction& action : aActions) {
      if (const auto* start = std::get_if<StartWork>(&action)) {
        ends.emplace(aNow + std::chrono::milliseconds(spread(random)), start->key_.request_.Get());
      } else {
        const std::uint64_t number = std::get<RefuseWork>(action).key_.request_.Get();
        ++result.refused_;
        result.longestRefusal_ = std::max(result.longestRefusal_, aNow - offeredAt.at(number));
      }
    }
  };
  const common::Duration gap = common::Duration(1s) / aRate;
  std::uint64_t number = 0;
  common::TimePoint nextOffer = kStart;
  for (common::TimePoint now = kStart; now < kStart + 20s; now += 1ms) {
    while (!ends.empty() && ends.top().first <= now) {
      const auto [end, ended] = ends.top();
      ends.pop();
      const common::Duration took = end - offeredAt.at(ended);
      ++(took <= 600ms ? result.inTime_ : result.late_);
      apply(aQueue.Finished(Key(ended), WorkEnd::kServed, end), end);
    }
    for (; nextOffer <= now; nextOffer += gap) {
      offeredAt[++number] = now;
      apply(aQueue.Offer(MakeWork(number, now), now), now);
    }
    apply(aQueue.Tick(now), now);
  }
  return result;
}

} // namespace

TEST_CASE("Under twice its capacity a target answers in time what it can", "[target][urgency]")
{
  UrgencyQueue byUrgency;
  const ReplayResult now = PlayOverload(byUrgency, 165);
  FairShareQueue byShares(FairShareSettings{ .slots_ = 18, .queueLength_ = 72, .coldStart_ = 0s });
  const ReplayResult before = PlayOverload(byShares, 165);
  // 20 s at 82 a second are 1640.
  CHECK(now.inTime_ >= 1400);
  CHECK(now.inTime_ >= before.inTime_ + 500);
  CHECK(now.inTime_ + now.late_ >= 1550);
}

TEST_CASE("What surely comes too late is refused when it comes", "[target][urgency]")
{
  UrgencyQueue queue;
  const ReplayResult result = PlayOverload(queue, 330);
  CHECK(result.refused_ > 4000);
  CHECK(result.longestRefusal_ < 1300ms);
  CHECK(result.inTime_ >= 1300);
}

TEST_CASE("Work that may be in time elsewhere is not kept to be late", "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.Ready(kStart, {});
  Teach(queue, 500ms);
  queue.Offer(MakeWork(1, kStart), kStart);
  Work work = MakeWork(2, kStart);
  work.mayBeLate_ = false;
  CHECK(queue.Offer(work, kStart) == SlotActions{ RefuseWork{ Key(2), RefuseReason::kBusy } });
  work.mayBeLate_ = true;
  CHECK(queue.Offer(work, kStart).empty());
  CHECK(queue.Queued() == 1);
}

TEST_CASE("A free slot goes to the best rank that can be in time", "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.Ready(kStart, {});
  Teach(queue, 50ms);
  queue.Offer(MakeWork(1, kStart), kStart);
  queue.Offer(MakeWork(2, kStart, 2), kStart);
  queue.Offer(MakeWork(3, kStart, 1), kStart);
  Work missed = MakeWork(4, kStart, 0);
  missed.objective_ = kStart;
  queue.Offer(missed, kStart);
  CHECK(queue.Finished(Key(1), WorkEnd::kServed, kStart + 50ms) ==
        SlotActions{ StartWork{ Key(3) } });
  CHECK(queue.Finished(Key(3), WorkEnd::kServed, kStart + 100ms) ==
        SlotActions{ StartWork{ Key(2) } });
  CHECK(queue.Finished(Key(2), WorkEnd::kServed, kStart + 150ms) ==
        SlotActions{ StartWork{ Key(4) } });
}

TEST_CASE("A target that is gone or drains keeps no work waiting", "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.Ready(kStart, {});
  queue.Offer(MakeWork(1, kStart), kStart);
  queue.Offer(MakeWork(2, kStart), kStart);
  SECTION("gone")
  {
    CHECK(queue.NotReady(kStart) == SlotActions{ RefuseWork{ Key(2), RefuseReason::kNotReady } });
  }
  SECTION("draining")
  {
    CHECK(queue.Drain(kStart) == SlotActions{ RefuseWork{ Key(2), RefuseReason::kDraining } });
  }
  CHECK(queue.Running() == 1);
  CHECK(queue.Offer(MakeWork(3, kStart), kStart).size() == 1);
}
