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
  key.requestId_ = common::RequestId(aNumber);
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

//! Runs one request so that the queue has an estimate of the service time.
void PrimeServiceTime(AdmissionQueue& aQueue, common::Duration aTime)
{
  aQueue.Offer(MakeWork(1'000'000, kStart - 1h), kStart - 1h);
  aQueue.OnWorkFinished(Key(1'000'000), WorkOutcome::kCompleted, kStart - 1h + aTime);
}

struct SimulationResult
{
  int onTimeCount_ = 0;
  int lateCount_ = 0;
  int refusedCount_ = 0;
  common::Duration maxTimeToRefusal_{ 0 }; //!< From the offer to the refusal.
};

//! Simulates an overload of 20 s. The target has 18 slots and service times of 120 to 320 ms (220
//! ms on average), which is a capacity of 82 requests/s.
SimulationResult SimulateOverload(AdmissionQueue& aQueue, int aArrivalsPerSecond)
{
  aQueue.SetLimits(18, 72, kStart - 1h);
  aQueue.MarkReady(kStart - 1h, {});
  PrimeServiceTime(aQueue, 220ms);
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int> serviceTimeMs(120, 320);
  using End = std::pair<common::TimePoint, std::uint64_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::map<std::uint64_t, common::TimePoint> offeredAt;
  SimulationResult result;
  const auto apply = [&](const SlotActions& aActions, common::TimePoint aNow) {
    for (const SlotAction& action : aActions) {
      if (const auto* start = std::get_if<StartWork>(&action)) {
        ends.emplace(aNow + std::chrono::milliseconds(serviceTimeMs(random)),
                     start->key_.requestId_.Get());
      } else {
        const std::uint64_t number = std::get<RefuseWork>(action).key_.requestId_.Get();
        ++result.refusedCount_;
        result.maxTimeToRefusal_ = std::max(result.maxTimeToRefusal_, aNow - offeredAt.at(number));
      }
    }
  };
  const common::Duration arrivalInterval = common::Duration(1s) / aArrivalsPerSecond;
  std::uint64_t number = 0;
  common::TimePoint nextOffer = kStart;
  for (common::TimePoint now = kStart; now < kStart + 20s; now += 1ms) {
    while (!ends.empty() && ends.top().first <= now) {
      const auto [end, ended] = ends.top();
      ends.pop();
      const common::Duration took = end - offeredAt.at(ended);
      ++(took <= 600ms ? result.onTimeCount_ : result.lateCount_);
      apply(aQueue.OnWorkFinished(Key(ended), WorkOutcome::kCompleted, end), end);
    }
    for (; nextOffer <= now; nextOffer += arrivalInterval) {
      offeredAt[++number] = now;
      apply(aQueue.Offer(MakeWork(number, now), now), now);
    }
    apply(aQueue.Tick(now), now);
  }
  return result;
}

} // namespace

TEST_CASE("At twice its capacity a target answers most of what it can within the objective",
          "[target][urgency]")
{
  UrgencyQueue urgencyQueue;
  const SimulationResult urgencyResult = SimulateOverload(urgencyQueue, 165);
  FairShareQueue fairShareQueue(
    FairShareSettings{ .slots_ = 18, .queueLength_ = 72, .coldStartDuration_ = 0s });
  const SimulationResult fairShareResult = SimulateOverload(fairShareQueue, 165);
  // The capacity is 1640 requests: 20 s at 82 requests/s.
  CHECK(urgencyResult.onTimeCount_ >= 1400);
  CHECK(urgencyResult.onTimeCount_ >= fairShareResult.onTimeCount_ + 500);
  CHECK(urgencyResult.onTimeCount_ + urgencyResult.lateCount_ >= 1550);
}

TEST_CASE("At four times the capacity excess work is refused before its deadline",
          "[target][urgency]")
{
  UrgencyQueue queue;
  const SimulationResult result = SimulateOverload(queue, 330);
  CHECK(result.refusedCount_ > 4000);
  CHECK(result.maxTimeToRefusal_ < 1300ms);
  CHECK(result.onTimeCount_ >= 1300);
}

TEST_CASE("Work that would miss its objective is queued only if no other endpoint can be tried",
          "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.MarkReady(kStart, {});
  PrimeServiceTime(queue, 500ms);
  queue.Offer(MakeWork(1, kStart), kStart);
  Work work = MakeWork(2, kStart);
  work.mayMissObjective_ = false;
  CHECK(queue.Offer(work, kStart) == SlotActions{ RefuseWork{ Key(2), RefusalReason::kBusy } });
  work.mayMissObjective_ = true;
  CHECK(queue.Offer(work, kStart).empty());
  CHECK(queue.QueuedCount() == 1);
}

TEST_CASE("A free slot is given to the best-ranked work that can meet its objective",
          "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.MarkReady(kStart, {});
  PrimeServiceTime(queue, 50ms);
  queue.Offer(MakeWork(1, kStart), kStart);
  queue.Offer(MakeWork(2, kStart, 2), kStart);
  queue.Offer(MakeWork(3, kStart, 1), kStart);
  Work overdueWork = MakeWork(4, kStart, 0);
  overdueWork.objective_ = kStart;
  queue.Offer(overdueWork, kStart);
  CHECK(queue.OnWorkFinished(Key(1), WorkOutcome::kCompleted, kStart + 50ms) ==
        SlotActions{ StartWork{ Key(3) } });
  CHECK(queue.OnWorkFinished(Key(3), WorkOutcome::kCompleted, kStart + 100ms) ==
        SlotActions{ StartWork{ Key(2) } });
  CHECK(queue.OnWorkFinished(Key(2), WorkOutcome::kCompleted, kStart + 150ms) ==
        SlotActions{ StartWork{ Key(4) } });
}

TEST_CASE("Queued work is refused when the target becomes unavailable or drains",
          "[target][urgency]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.MarkReady(kStart, {});
  queue.Offer(MakeWork(1, kStart), kStart);
  queue.Offer(MakeWork(2, kStart), kStart);
  SECTION("unavailable")
  {
    CHECK(queue.MarkNotReady(kStart) ==
          SlotActions{ RefuseWork{ Key(2), RefusalReason::kNotReady } });
  }
  SECTION("draining")
  {
    CHECK(queue.MarkDraining(kStart) ==
          SlotActions{ RefuseWork{ Key(2), RefusalReason::kDraining } });
  }
  CHECK(queue.RunningCount() == 1);
  CHECK(queue.Offer(MakeWork(3, kStart), kStart).size() == 1);
}

TEST_CASE("Work whose body would arrive too late is refused before the transfer",
          "[target][urgency][upload]")
{
  UrgencyQueue queue;
  queue.SetLimits(1, 0, kStart);
  queue.MarkReady(kStart, {});
  PrimeServiceTime(queue, 100ms);
  Work work = MakeWork(1, kStart); // Objective after 600 ms, deadline after 1,500 ms.
  CHECK_FALSE(queue.PredictRefusal(work, kStart + 300ms, kStart));
  CHECK(queue.PredictRefusal(work, kStart + 1'450ms, kStart) == RefusalReason::kUnservable);
  SECTION("at another endpoint it may be in time")
  {
    work.mayMissObjective_ = false;
    CHECK(queue.PredictRefusal(work, kStart + 700ms, kStart) == RefusalReason::kBusy);
  }
  SECTION("there is no other endpoint")
  {
    CHECK(queue.PredictRefusal(work, kStart + 700ms, kStart) == RefusalReason::kQueueFull);
    // A short transfer delays no others, and the slot is free.
    work.objective_ = kStart;
    CHECK_FALSE(queue.PredictRefusal(work, kStart + 200ms, kStart));
  }
  SECTION("the target is not ready")
  {
    queue.MarkNotReady(kStart);
    CHECK(queue.PredictRefusal(work, kStart, kStart) == RefusalReason::kNotReady);
  }
}
