#include "dandelionstand/peer/ZmqTransport.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <vector>

using namespace dandelionstand;
using namespace std::chrono_literals;

namespace {

common::Address FreeAddress()
{
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return common::Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

struct Node
{
  Node(common::EventLoop& aLoop, const std::string& aName)
    : address_(FreeAddress())
    , transport_(std::make_unique<peer::ZmqTransport>(aLoop, counters_, Settings(aName)))
  {
    transport_->Received().connect([this](const peer::PeerRef& aFrom, const auto& aEnvelope) {
      senders_.push_back(aFrom);
      received_.push_back(aEnvelope);
    });
    transport_->LinkLost().connect([this](const common::Address&) { ++lostLinkCount_; });
  }

  peer::ZmqTransportSettings Settings(const std::string& aName) const
  {
    peer::ZmqTransportSettings settings;
    settings.instance_ = common::InstanceId(aName);
    settings.incarnation_ = common::Incarnation(1);
    settings.listen_ = address_;
    settings.advertise_ = address_;
    settings.heartbeatInterval_ = 50ms;
    return settings;
  }

  common::Counters counters_;
  common::Address address_;
  std::unique_ptr<peer::ZmqTransport> transport_;
  std::vector<peer::PeerRef> senders_;
  std::vector<peer::wire::Envelope> received_;
  int lostLinkCount_ = 0;
};

//! Runs the loop until the condition holds; false if that takes more than 30 s.
template<typename Condition>
bool RunUntil(common::EventLoop& aLoop, Condition aCondition)
{
  bool hasTimedOut = false;
  const auto check = aLoop.Every(5ms, [&] {
    if (aCondition()) {
      aLoop.Stop();
    }
  });
  const auto deadline = aLoop.After(30s, [&] {
    hasTimedOut = true;
    aLoop.Stop();
  });
  aLoop.Run();
  return !hasTimedOut;
}

peer::wire::Envelope MakeCancel(std::uint64_t aRequestId)
{
  peer::wire::Envelope envelope;
  envelope.mutable_call_cancel()->set_request_id(aRequestId);
  return envelope;
}

} // namespace

TEST_CASE("An envelope arrives and is answered on its return path", "[peer][transport]")
{
  common::EventLoop loop;
  Node left(loop, "left");
  Node right(loop, "right");
  peer::wire::Envelope request = MakeCancel(7);
  REQUIRE(left.transport_->Send({ right.address_, "" }, request));
  REQUIRE(RunUntil(loop, [&] { return !right.received_.empty(); }));
  CHECK(right.received_[0].sender() == "left");
  CHECK(right.received_[0].call_cancel().request_id() == 7);

  peer::wire::Envelope reply = MakeCancel(8);
  REQUIRE(right.transport_->Send(right.senders_[0], reply));
  REQUIRE(RunUntil(loop, [&] { return !left.received_.empty(); }));
  CHECK(left.received_[0].call_cancel().request_id() == 8);
}

TEST_CASE("A link to an address that never answers is replaced", "[peer][transport]")
{
  common::EventLoop loop;
  Node left(loop, "left");
  peer::wire::Envelope request = MakeCancel(7);
  left.transport_->Send({ FreeAddress(), "" }, request);
  CHECK(RunUntil(loop, [&] { return left.lostLinkCount_ > 0; }));
}

TEST_CASE("Many envelopes arrive in order", "[peer][transport]")
{
  constexpr std::uint64_t kCount = 200;
  common::EventLoop loop;
  Node left(loop, "left");
  Node right(loop, "right");
  for (std::uint64_t id = 1; id <= kCount; ++id) {
    peer::wire::Envelope request = MakeCancel(id);
    REQUIRE(left.transport_->Send({ right.address_, "" }, request));
  }
  REQUIRE(RunUntil(loop, [&] { return right.received_.size() == kCount; }));
  for (std::uint64_t id = 1; id <= kCount; ++id) {
    CHECK(right.received_[id - 1].call_cancel().request_id() == id);
  }
}

TEST_CASE("An unreachable peer is reported as lost once and as regained when it responds again",
          "[peer][transport]")
{
  common::EventLoop loop;
  Node left(loop, "left");
  const common::Address address = FreeAddress();
  const auto ping = loop.Every(20ms, [&] {
    peer::wire::Envelope request = MakeCancel(7);
    left.transport_->Send({ address, "" }, request);
  });
  REQUIRE(RunUntil(loop, [&] { return left.lostLinkCount_ >= 3; }));
  CHECK(left.counters_.Get("peer_links_lost_total") == 1);
  CHECK(left.counters_.Get("peer_links_regained_total") == 0);
  common::Counters counters;
  peer::ZmqTransportSettings settings = left.Settings("right");
  settings.listen_ = address;
  settings.advertise_ = address;
  const peer::ZmqTransport right(loop, counters, settings);
  CHECK(RunUntil(loop, [&] { return left.counters_.Get("peer_links_regained_total") == 1; }));
}
