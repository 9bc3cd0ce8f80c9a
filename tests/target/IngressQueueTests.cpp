#include "dandelionstand/target/IncomingBody.h"
#include "dandelionstand/target/IngressQueue.h"

#include <catch2/catch.hpp>

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace dandelionstand;
using namespace dandelionstand::target;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };
//! Link of an instance with 10 Mbit/s.
constexpr std::size_t kLinkBytesPerSecond = 1'250'000;
constexpr std::uint64_t kUsableBytesPerSecond = 1'060'000;
constexpr std::size_t kPieceBytes = 16UL * 1024;
constexpr std::size_t kSmallBytes = 600;

AttemptKey Key(std::uint64_t aNumber)
{
  AttemptKey key;
  key.requestId_ = common::RequestId(aNumber);
  return key;
}

struct ReplayResult
{
  std::vector<common::Duration> smallDelays_; //!< Time that small messages spent on the link.
  int uploads_ = 0;                           //!< That arrived completely.
};

//! Replays 20 s at an instance that receives 16 uploads of 20 to 100 KB and 40 small messages a
//! second. Everything passes through its link in order. Without aIsPaced bodies are sent at once.
ReplayResult ReplayUploads(bool aIsPaced)
{
  constexpr common::Duration kOneWay = 12ms;
  struct Message
  {
    std::uint64_t upload_ = 0; //!< 0 for a small message.
    std::size_t bytes_ = 0;
    common::TimePoint sentAt_;
  };
  ReplayResult result;
  IngressQueue queue(kUsableBytesPerSecond);
  std::multimap<common::TimePoint, Message> atLink;
  std::multimap<common::TimePoint, Message> received;
  std::map<std::uint64_t, std::size_t> missing;
  common::TimePoint linkFreeAt = kStart;
  std::mt19937_64 random(5);
  const auto send = [&](std::uint64_t aUpload, std::size_t aBytes, common::TimePoint aAt) {
    for (std::size_t left = aBytes; left > 0; left -= std::min(left, kPieceBytes)) {
      atLink.emplace(aAt, Message{ aUpload, std::min(left, kPieceBytes), aAt });
    }
  };
  const auto grant = [&](common::TimePoint aNow) {
    for (const IngressQueue::Grant& granted : queue.TakeGrants(aNow)) {
      send(granted.key_.requestId_.Get(), granted.bytes_, aNow + 2 * kOneWay);
    }
  };
  std::uint64_t number = 0;
  for (int ms = 0; ms < 20'000; ++ms) {
    const common::TimePoint now = kStart + std::chrono::milliseconds(ms);
    if (random() % 1'000 < 16) {
      const std::size_t bytes = 20'000 + random() % 80'000;
      missing[++number] = bytes;
      if (aIsPaced) {
        queue.Add(Key(number), bytes, now);
        grant(now);
      } else {
        send(number, bytes, now);
      }
    }
    if (random() % 1'000 < 40) {
      send(0, kSmallBytes, now);
    }
    while (!atLink.empty() && atLink.begin()->first <= now) {
      const Message message = atLink.begin()->second;
      atLink.erase(atLink.begin());
      linkFreeAt = std::max(linkFreeAt, now) +
                   common::Duration(message.bytes_ * 1'000'000 / kLinkBytesPerSecond);
      received.emplace(linkFreeAt, message);
    }
    while (!received.empty() && received.begin()->first <= now) {
      const Message message = received.begin()->second;
      const common::TimePoint at = received.begin()->first;
      received.erase(received.begin());
      if (message.upload_ == 0) {
        result.smallDelays_.push_back(at - message.sentAt_);
        continue;
      }
      missing[message.upload_] -= message.bytes_;
      result.uploads_ += missing[message.upload_] == 0 ? 1 : 0;
      if (aIsPaced) {
        queue.OnReceived(Key(message.upload_), message.bytes_, now);
        if (missing[message.upload_] == 0) {
          queue.Remove(Key(message.upload_));
        }
        grant(now);
      }
    }
  }
  std::sort(result.smallDelays_.begin(), result.smallDelays_.end());
  return result;
}

common::Duration Quantile(const std::vector<common::Duration>& aSorted, double aShare)
{
  return aSorted.at(static_cast<std::size_t>(static_cast<double>(aSorted.size()) * aShare));
}

} // namespace

TEST_CASE("Small messages are not delayed by uploads that fill the link of an instance",
          "[target][ingress][replay]")
{
  const ReplayResult unpaced = ReplayUploads(false);
  const ReplayResult paced = ReplayUploads(true);
  CHECK(Quantile(unpaced.smallDelays_, 0.9) > 100ms);
  CHECK(Quantile(paced.smallDelays_, 0.9) < 50ms);
  CHECK(Quantile(paced.smallDelays_, 0.99) < 60ms);
  CHECK(paced.uploads_ >= unpaced.uploads_ * 97 / 100);
}

TEST_CASE("Bodies are requested in the order of their announcement", "[target][ingress]")
{
  IngressQueue queue(kUsableBytesPerSecond); // 53,000 bytes on their way.
  queue.Add(Key(1), 60'000, kStart);
  queue.Add(Key(2), 30'000, kStart);
  CHECK(queue.TakeGrants(kStart) == std::vector{ IngressQueue::Grant{ Key(1), 53'000 } });
  CHECK(queue.TimeToReceive(0) == common::Duration(90'000'000'000 / kUsableBytesPerSecond));
  CHECK(queue.TakeGrants(kStart).empty());
  queue.OnReceived(Key(1), 20'000, kStart + 20ms);
  CHECK(queue.TakeGrants(kStart + 20ms) ==
        std::vector{ IngressQueue::Grant{ Key(1), 7'000 }, IngressQueue::Grant{ Key(2), 13'000 } });
  SECTION("an upload that is removed makes room for the next one")
  {
    queue.Remove(Key(1));
    CHECK(queue.TakeGrants(kStart + 20ms) == std::vector{ IngressQueue::Grant{ Key(2), 17'000 } });
  }
  SECTION("an upload that sends nothing does not delay the next one for long")
  {
    CHECK(queue.TakeGrants(kStart + 200ms).empty());
    CHECK(queue.TakeGrants(kStart + 400ms) == std::vector{ IngressQueue::Grant{ Key(2), 17'000 } });
  }
}

TEST_CASE("Bodies are requested completely if the bandwidth is unlimited", "[target][ingress]")
{
  IngressQueue queue(std::nullopt);
  queue.Add(Key(1), 360'000, kStart);
  CHECK(queue.TakeGrants(kStart) == std::vector{ IngressQueue::Grant{ Key(1), 360'000 } });
  CHECK(queue.TimeToReceive(1'000'000) == common::Duration(0));
}

TEST_CASE("A body is complete only with all its bytes in order", "[target][ingress]")
{
  const std::string text = "a large backup dump";
  const std::uint64_t checksum = XXH3_64bits(text.data(), text.size());
  IncomingBody body(text.size(), checksum);
  REQUIRE(body.Add(0, text.substr(0, 8)) == IncomingBody::State::kIncomplete);
  SECTION("all pieces arrive")
  {
    CHECK(body.Add(8, text.substr(8)) == IncomingBody::State::kComplete);
    CHECK(body.Release() == text);
  }
  SECTION("a piece is lost")
  {
    CHECK(body.Add(10, text.substr(10)) == IncomingBody::State::kBroken);
  }
  SECTION("a piece arrives twice")
  {
    CHECK(body.Add(0, text.substr(0, 8)) == IncomingBody::State::kBroken);
  }
  SECTION("more bytes arrive than were announced")
  {
    CHECK(body.Add(8, text.substr(8) + "!") == IncomingBody::State::kBroken);
  }
  SECTION("a byte differs")
  {
    CHECK(body.Add(8, std::string(text.size() - 8, 'x')) == IncomingBody::State::kBroken);
  }
}
