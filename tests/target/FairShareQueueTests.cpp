#include "dandelionstand/target/FairShareQueue.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::target;
using namespace std::chrono_literals;
using config::TrafficClass;

namespace {

const common::TimePoint kStart{ 1h };

Work MakeWork(std::uint64_t aNumber,
              TrafficClass aClass = TrafficClass::kBrowse,
              common::Duration aRemainingTime = 1s,
              common::TimePoint aNow = kStart)
{
  return { { common::InstanceId("a"), common::Incarnation(1), common::RequestId(aNumber), 1 },
           aClass,
           aNow + aRemainingTime };
}

FairShareQueue MakeWarmQueue(std::uint32_t aSlots, std::uint32_t aQueueLength)
{
  FairShareQueue queue({ .slots_ = aSlots, .queueLength_ = aQueueLength });
  queue.MarkReady(kStart - 1min);
  return queue;
}

SlotActions Started(std::uint64_t aNumber)
{
  return { StartWork{ MakeWork(aNumber).key_ } };
}

SlotActions Refused(std::uint64_t aNumber, RefusalReason aReason)
{
  return { RefuseWork{ MakeWork(aNumber).key_, aReason } };
}

} // namespace

TEST_CASE("Work beyond the slots is queued, and refused when the queue is full", "[target][slots]")
{
  FairShareQueue queue = MakeWarmQueue(2, 1);
  CHECK(queue.Offer(MakeWork(1), kStart) == Started(1));
  CHECK(queue.Offer(MakeWork(2), kStart) == Started(2));
  CHECK(queue.Offer(MakeWork(3), kStart).empty());
  CHECK(queue.Offer(MakeWork(4), kStart) == Refused(4, RefusalReason::kQueueFull));
  CHECK(queue.RunningCount() == 2);
  CHECK(queue.OnWorkFinished(MakeWork(1).key_, WorkOutcome::kCompleted, kStart + 1ms) ==
        Started(3));
}

TEST_CASE("New work is refused while the target is not ready or draining", "[target][slots]")
{
  FairShareQueue queue({ .slots_ = 2, .queueLength_ = 4 });
  CHECK(queue.Offer(MakeWork(1), kStart) == Refused(1, RefusalReason::kNotReady));
  queue.MarkReady(kStart - 1min);
  queue.Offer(MakeWork(2, TrafficClass::kBrowse, 1min), kStart);
  queue.Offer(MakeWork(3, TrafficClass::kBrowse, 1min), kStart);
  queue.Offer(MakeWork(4, TrafficClass::kBrowse, 1min), kStart);
  queue.Offer(MakeWork(5, TrafficClass::kBrowse, 1min), kStart);
  queue.MarkDraining(kStart);
  CHECK(queue.Offer(MakeWork(6), kStart) == Refused(6, RefusalReason::kDraining));
  SECTION("queued work is still started")
  {
    CHECK(queue.OnWorkFinished(MakeWork(2).key_, WorkOutcome::kCompleted, kStart) == Started(4));
  }
  SECTION("queued work is refused after the drain queue period")
  {
    CHECK(queue.Tick(kStart + 900ms).empty());
    CHECK(queue.Tick(kStart + 1s).size() == 2);
    CHECK(queue.QueuedCount() == 0);
    CHECK(queue.OnWorkFinished(MakeWork(2).key_, WorkOutcome::kCompleted, kStart + 2s).empty());
  }
}

TEST_CASE("Work that cannot meet its deadline is refused without being started", "[target][slots]")
{
  FairShareQueue queue = MakeWarmQueue(1, 8);
  queue.Offer(MakeWork(1), kStart);
  queue.OnWorkFinished(MakeWork(1).key_, WorkOutcome::kCompleted, kStart + 100ms);
  CHECK(queue.Offer(MakeWork(2, TrafficClass::kBrowse, 50ms), kStart) ==
        Refused(2, RefusalReason::kUnservable));
  CHECK(queue.Offer(MakeWork(3), kStart) == Started(3));
  CHECK(queue.Offer(MakeWork(4, TrafficClass::kBrowse, 250ms), kStart) ==
        Refused(4, RefusalReason::kUnservable));
  CHECK(queue.Offer(MakeWork(5, TrafficClass::kBrowse, 400ms), kStart).empty());
  CHECK(queue.Tick(kStart + 301ms) == Refused(5, RefusalReason::kUnservable));
}

TEST_CASE("An order evicts browse work when browse work has filled the queue", "[target][slots]")
{
  FairShareQueue queue = MakeWarmQueue(10, 10);
  for (std::uint64_t i = 0; i < 20; ++i) {
    queue.Offer(MakeWork(i), kStart);
  }
  REQUIRE(queue.RunningCount() == 10);
  const SlotActions actions = queue.Offer(MakeWork(100, TrafficClass::kOrder, 2s), kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RefuseWork>(actions[0]).reason_ == RefusalReason::kQueueFull);
  CHECK(std::get<RefuseWork>(actions[0]).key_ != MakeWork(100).key_);
  CHECK(queue.OnWorkFinished(MakeWork(0).key_, WorkOutcome::kCompleted, kStart) == Started(100));
}

TEST_CASE("Within a class the work with the earliest deadline is started first", "[target][slots]")
{
  FairShareQueue queue = MakeWarmQueue(1, 8);
  queue.Offer(MakeWork(1), kStart);
  queue.Offer(MakeWork(2, TrafficClass::kBrowse, 900ms), kStart);
  queue.Offer(MakeWork(3, TrafficClass::kBrowse, 500ms), kStart);
  CHECK(queue.OnWorkFinished(MakeWork(1).key_, WorkOutcome::kCompleted, kStart) == Started(3));
}

TEST_CASE("The usable slots grow over the cold start", "[target][slots]")
{
  FairShareQueue queue({ .slots_ = 8, .queueLength_ = 20, .coldStartDuration_ = 8s });
  queue.MarkReady(kStart);
  for (std::uint64_t i = 0; i < 16; ++i) {
    queue.Offer(MakeWork(i, TrafficClass::kBrowse, 1min), kStart);
  }
  CHECK(queue.RunningCount() == 2);
  queue.Tick(kStart + 4s);
  CHECK(queue.RunningCount() == 4);
  queue.Tick(kStart + 8s);
  CHECK(queue.RunningCount() == 8);
}

TEST_CASE("Downloads leave a quarter of the slots to other classes", "[target][slots]")
{
  FairShareQueue queue = MakeWarmQueue(4, 8);
  for (std::uint64_t i = 0; i < 6; ++i) {
    queue.Offer(MakeWork(i, TrafficClass::kDownload), kStart);
  }
  CHECK(queue.RunningCount() == 3);
  CHECK(queue.Offer(MakeWork(9, TrafficClass::kLookup), kStart) == Started(9));
}
