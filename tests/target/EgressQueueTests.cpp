#include "dandelionstand/target/EgressQueue.h"
#include "dandelionstand/target/UrgencyQueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace dandelionstand;
using namespace dandelionstand::target;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };
//! Bandwidth of the link of an instance with 7 Mbit/s.
constexpr std::uint64_t kLinkBytesPerSecond = 875'000;
constexpr std::uint64_t kUsableBytesPerSecond = 750'000;
constexpr std::size_t kFrameBytes = 16UL * 1024;
constexpr std::size_t kDownloadBytes = 90'000;
constexpr std::size_t kSmallBytes = 600;

AttemptKey Key(std::uint64_t aNumber)
{
  AttemptKey key;
  key.requestId_ = common::RequestId(aNumber);
  return key;
}

EgressQueue::Part MakePart(std::uint64_t aNumber, std::size_t aBytes, bool aIsLast = false)
{
  EgressQueue::Part part;
  part.key_ = Key(aNumber);
  part.bytes_ = aBytes;
  part.isLast_ = aIsLast;
  return part;
}

void PushDownload(EgressQueue& aQueue, std::uint64_t aNumber)
{
  for (std::size_t left = kDownloadBytes; left > 0; left -= std::min(left, kFrameBytes)) {
    aQueue.Push(MakePart(aNumber, std::min(left, kFrameBytes)));
  }
  aQueue.Push(MakePart(aNumber, 0, true));
}

struct ReplayResult
{
  std::vector<common::Duration> smallDelays_; //!< From the answer of the target to its arrival.
  int downloads_ = 0;                         //!< That arrived completely.
};

//! Replays 20 s at the daemon of a target that answers 12 downloads and 43 small requests a second.
//! All bytes pass through a link that carries them in order.
ReplayResult ReplayDownloads(EgressQueue& aQueue)
{
  ReplayResult result;
  common::TimePoint linkFreeAt = kStart;
  const auto transmit = [&](std::size_t aBytes, common::TimePoint aNow) {
    aQueue.RecordSent(aBytes, aNow);
    linkFreeAt =
      std::max(linkFreeAt, aNow) + common::Duration(aBytes * 1'000'000 / kLinkBytesPerSecond);
    return linkFreeAt - aNow;
  };
  std::uint64_t number = 0;
  for (common::Duration at{ 0 }; at < 20s; at += 1ms) {
    const common::TimePoint now = kStart + at;
    if (at % 83ms == 0ms && aQueue.TimeToSend(kDownloadBytes, now) < 800ms) {
      PushDownload(aQueue, ++number);
    }
    if (at % 23ms == 0ms) {
      result.smallDelays_.push_back(transmit(kSmallBytes, now));
    }
    while (const auto part = aQueue.TakeDue(now)) {
      transmit(part->bytes_, now);
      result.downloads_ += part->isLast_ ? 1 : 0;
    }
  }
  std::sort(result.smallDelays_.begin(), result.smallDelays_.end());
  return result;
}

Work MakeDownload(std::uint64_t aNumber, common::Duration aTransferTime)
{
  Work work;
  work.key_ = Key(aNumber);
  work.deadline_ = kStart + 4s;
  work.objective_ = kStart + 1s;
  work.route_ = "download";
  work.transferTime_ = aTransferTime;
  return work;
}

} // namespace

TEST_CASE("Small answers arrive in time beside downloads that fill the link",
          "[target][egress][replay]")
{
  SECTION("the bandwidth is known")
  {
    EgressQueue queue(kUsableBytesPerSecond);
    const ReplayResult result = ReplayDownloads(queue);
    CHECK(result.smallDelays_.back() <= 50ms);
    // 20 s of the usable bandwidth, less the small answers.
    CHECK(result.downloads_ >= 150);
  }
  SECTION("without a limit they wait behind the downloads for seconds")
  {
    EgressQueue queue(std::nullopt);
    const ReplayResult result = ReplayDownloads(queue);
    CHECK(result.smallDelays_[result.smallDelays_.size() / 2] > 1s);
  }
}

TEST_CASE("Large answers are sent one after the other, in the order of their first parts",
          "[target][egress]")
{
  EgressQueue queue(kUsableBytesPerSecond);
  queue.Push(MakePart(1, kFrameBytes));
  queue.Push(MakePart(2, kFrameBytes));
  queue.Push(MakePart(1, kFrameBytes));
  queue.Push(MakePart(2, 0, true));
  queue.Push(MakePart(1, 0, true));
  CHECK(queue.AnswerCount() == 2);
  std::vector<std::uint64_t> order;
  for (common::TimePoint now = kStart; !queue.IsEmpty(); now += 1ms) {
    while (const auto part = queue.TakeDue(now)) {
      queue.RecordSent(part->bytes_, now);
      order.push_back(part->key_.requestId_.Get());
    }
  }
  CHECK(order == std::vector<std::uint64_t>{ 1, 1, 1, 2, 2 });
}

TEST_CASE("No bandwidth is lost by an event loop that sends some milliseconds late",
          "[target][egress]")
{
  constexpr std::size_t kAnswers = 100;
  EgressQueue queue(kUsableBytesPerSecond);
  for (std::uint64_t number = 1; number <= kAnswers; ++number) {
    PushDownload(queue, number);
  }
  common::TimePoint now = kStart;
  for (; !queue.IsEmpty(); now += 7ms) {
    while (const auto part = queue.TakeDue(now)) {
      queue.RecordSent(part->bytes_, now);
    }
  }
  // 9 MB at 750 kB/s.
  CHECK(now - kStart <= 12'200ms);
}

TEST_CASE("Nothing of a dropped answer is sent", "[target][egress]")
{
  EgressQueue queue(kUsableBytesPerSecond);
  PushDownload(queue, 1);
  PushDownload(queue, 2);
  CHECK(queue.TimeToSend(0, kStart) >= 200ms);
  queue.Drop(Key(1));
  CHECK_FALSE(queue.Contains(Key(1)));
  CHECK(queue.TimeToSend(0, kStart) <= 125ms);
  REQUIRE(queue.TakeDue(kStart));
  queue.Drop(Key(2));
  CHECK(queue.IsEmpty());
  CHECK(queue.TimeToSend(0, kStart) == 0ms);
}

TEST_CASE("An answer that the target is working on counts with its usual size", "[target][egress]")
{
  EgressQueue queue(kUsableBytesPerSecond);
  queue.Reserve(Key(1), kDownloadBytes);
  CHECK(queue.TimeToSend(0, kStart) == 120ms);
  SECTION("its parts replace the reservation")
  {
    queue.Push(MakePart(1, kFrameBytes));
    CHECK(queue.TimeToSend(0, kStart) == 120ms);
    queue.Push(MakePart(1, 0, true));
    CHECK(queue.TimeToSend(0, kStart) < 25ms);
  }
  SECTION("it is dropped")
  {
    queue.Drop(Key(1));
    CHECK(queue.TimeToSend(0, kStart) == 0ms);
  }
}

TEST_CASE("Bodies are held back for half a second at most by messages that cannot wait",
          "[target][egress]")
{
  EgressQueue queue(kUsableBytesPerSecond);
  queue.RecordSent(10 * kUsableBytesPerSecond, kStart);
  queue.Push(MakePart(1, kFrameBytes));
  CHECK_FALSE(queue.TakeDue(kStart + 499ms));
  CHECK(queue.TakeDue(kStart + 500ms));
}

TEST_CASE("Work whose answer would be late because of the link is refused while much waits",
          "[target][urgency][egress]")
{
  UrgencyQueue queue;
  queue.SetLimits(9, 36, kStart - 1h);
  queue.MarkReady(kStart - 1h, {});
  const auto offer = [&](const Work& aWork) { return queue.Offer(aWork, kStart).back(); };
  SECTION("it would be on time")
  {
    CHECK(offer(MakeDownload(1, 900ms)) == SlotAction(StartWork{ Key(1) }));
  }
  SECTION("another endpoint can be tried")
  {
    Work work = MakeDownload(1, 1100ms);
    work.mayMissObjective_ = false;
    CHECK(offer(work) == SlotAction(RefuseWork{ Key(1), RefusalReason::kBusy }));
  }
  SECTION("no other endpoint can be tried")
  {
    CHECK(offer(MakeDownload(1, 1100ms)) ==
          SlotAction(RefuseWork{ Key(1), RefusalReason::kQueueFull }));
  }
  SECTION("it would be late, but little waits")
  {
    Work work = MakeDownload(1, 200ms);
    work.objective_ = kStart;
    CHECK(offer(work) == SlotAction(StartWork{ Key(1) }));
  }
  SECTION("its deadline would be missed")
  {
    CHECK(offer(MakeDownload(1, 4100ms)) ==
          SlotAction(RefuseWork{ Key(1), RefusalReason::kUnservable }));
  }
}
