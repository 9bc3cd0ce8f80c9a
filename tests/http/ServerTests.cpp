#include "dandelionstand/http/Server.h"
#include "tests/support/Tcp.h"
#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstand;
using namespace dandelionstand::http;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

//! A server whose requests wait for an answer of the test; the client runs on its own thread.
struct Bench
{
  Bench()
    : server_(loop_,
              common::Address("127.0.0.1:0"),
              { [this](ServerExchange& aExchange) { OnRequest(aExchange); },
                [this](std::uint32_t aStatus, const std::string&) { rejected_.push_back(aStatus); },
                [this] { return limits_; } })
  {
  }

  void OnRequest(ServerExchange& aExchange)
  {
    Request request = aExchange.TakeRequest();
    const std::string target = request.target_;
    seen_.push_back(target);
    open_[target] = &aExchange;
    aExchange.Watch([this, target] { gone_.push_back(target); }, nullptr);
    aExchange.SetEnded([this, target] { open_.erase(target); });
    if (onRequest_) {
      onRequest_(target);
    }
  }

  void Answer(const std::string& aTarget)
  {
    open_.at(aTarget)->Reply({ 200, {} }, "answer to " + aTarget);
  }

  //! Runs the loop until the client has ended.
  template<typename Client>
  auto Run(Client aClient)
  {
    auto result = std::async(std::launch::async, [this, aClient] {
      const TcpStream unused(server_.BoundAddress(), "");
      return aClient(server_.BoundAddress());
    });
    const auto check = loop_.Every(5ms, [&] {
      if (result.wait_for(0s) == std::future_status::ready) {
        loop_.Stop();
      }
    });
    loop_.Run();
    return result.get();
  }

  common::EventLoop loop_;
  Limits limits_;
  Server server_;
  std::vector<std::string> seen_;
  std::vector<std::string> gone_;
  std::vector<std::uint32_t> rejected_;
  std::map<std::string, ServerExchange*> open_;
  std::function<void(const std::string&)> onRequest_;
};

std::string Get(const std::string& aTarget, const std::string& aHeaders = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a.example\r\n" + aHeaders + "\r\n";
}

std::string AnswerTo(const std::string& aTarget, const std::string& aHeaders = "")
{
  const std::string body = "answer to " + aTarget;
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + aHeaders +
         "\r\n" + body;
}

} // namespace

TEST_CASE("Pipelined requests run together and are answered in their order", "[http][server]")
{
  Bench bench;
  bench.onRequest_ = [&](const std::string&) {
    if (bench.seen_.size() == 3) {
      for (const char* target : { "/c", "/b", "/a" }) {
        bench.Answer(target);
      }
    }
  };
  const std::string expected = AnswerTo("/a") + AnswerTo("/b") + AnswerTo("/c");
  const std::string received = bench.Run([&](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(Get("/a") + Get("/b") + Get("/c"));
    return stream.Receive(expected.size(), 5s);
  });
  CHECK(received == expected);
}

TEST_CASE("A request that changes something waits for those before it", "[http][server]")
{
  Bench bench;
  std::size_t seenBefore = 0;
  const auto answerFirst = bench.loop_.After(200ms, [&] {
    seenBefore = bench.seen_.size();
    bench.Answer("/a");
  });
  bench.onRequest_ = [&](const std::string& aTarget) {
    if (aTarget == "/b") {
      bench.Answer("/b");
    }
  };
  const std::string expected = AnswerTo("/a") + AnswerTo("/b");
  const std::string received = bench.Run([&](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(Get("/a") + "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    return stream.Receive(expected.size(), 5s);
  });
  CHECK(received == expected);
  CHECK(seenBefore == 1);
}

TEST_CASE("A client that leaves is seen behind pipelined requests", "[http][server]")
{
  Bench bench;
  bench.Run([](const common::Address& aAddress) {
    {
      TcpStream stream(aAddress, "");
      stream.Send(Get("/a") + Get("/b") + Get("/c"));
      stream.Receive(1, 100ms);
    }
    std::this_thread::sleep_for(200ms);
    return 0;
  });
  CHECK(bench.gone_ == std::vector<std::string>{ "/a", "/b", "/c" });
  CHECK(bench.open_.empty());
}

TEST_CASE("Ambiguous framing gets 400 and a closed connection, and nothing is passed on",
          "[http][server]")
{
  const std::string cases[] = {
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nbody",
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nbody",
    "GET /x HTTP/1.1\r\nHost: a\r\nFolded: one\r\n two\r\n\r\n",
    "GET /x HTTP/1.1\r\n\r\n",
  };
  for (const std::string& request : cases) {
    INFO(request);
    Bench bench;
    const auto received = bench.Run([&](const common::Address& aAddress) {
      TcpStream stream(aAddress, "");
      stream.Send(request + Get("/smuggled"));
      return stream.ReceiveUntilClosed(5s);
    });
    REQUIRE(received.has_value());
    CHECK(received->starts_with("HTTP/1.1 400 "));
    CHECK(received->find("HTTP/1.1", 1) == std::string::npos);
    CHECK(bench.seen_.empty());
  }
}

TEST_CASE("A response that is due goes before the refusal of what follows it", "[http][server]")
{
  Bench bench;
  const auto answer = bench.loop_.After(100ms, [&] { bench.Answer("/a"); });
  const auto received = bench.Run([](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(Get("/a") + "nonsense\r\n\r\n");
    return stream.ReceiveUntilClosed(5s);
  });
  REQUIRE(received.has_value());
  CHECK(received->starts_with(AnswerTo("/a") + "HTTP/1.1 400 "));
}

TEST_CASE("A head that takes too long gets 408, an idle connection is closed", "[http][server]")
{
  Bench bench;
  bench.limits_.headTime_ = 100ms;
  bench.limits_.idleTime_ = 100ms;
  std::string sent;
  std::string expected;
  SECTION("a slow head")
  {
    sent = "GET / HT";
    expected = "HTTP/1.1 408 ";
  }
  SECTION("idle") {}
  const auto received = bench.Run([&](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(sent);
    return stream.ReceiveUntilClosed(5s);
  });
  REQUIRE(received.has_value());
  CHECK(received->starts_with(expected));
  CHECK(received->empty() == expected.empty());
}

TEST_CASE("An aborted response resets the connection", "[http][server]")
{
  Bench bench;
  bench.onRequest_ = [&](const std::string& aTarget) {
    bench.open_.at(aTarget)->SendHead({ 200, {} }, std::nullopt);
    bench.open_.at(aTarget)->SendBody("part");
    bench.loop_.Post([&, aTarget] { bench.open_.at(aTarget)->Abort(); });
  };
  const auto received = bench.Run([](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(Get("/a"));
    return stream.ReceiveUntilClosed(5s);
  });
  REQUIRE(received.has_value());
  CHECK(received->find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("A server that closes ends connections with the response that is due", "[http][server]")
{
  Bench bench;
  bench.onRequest_ = [&](const std::string& aTarget) {
    bench.server_.StartClosing();
    bench.Answer(aTarget);
  };
  const auto received = bench.Run([](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    stream.Send(Get("/a"));
    return stream.ReceiveUntilClosed(5s);
  });
  REQUIRE(received.has_value());
  CHECK(*received == AnswerTo("/a", "Connection: close\r\n"));
}

TEST_CASE("A server that closes serves what comes, one request a connection", "[http][server]")
{
  Bench bench;
  bench.onRequest_ = [&](const std::string& aTarget) {
    bench.Answer(aTarget);
    if (aTarget == "/first") {
      bench.loop_.Post([&] { bench.server_.StartClosing(); });
    }
  };
  std::string expected;
  SECTION("on a connection that is opened meanwhile")
  {
    bench.server_.StartClosing();
  }
  SECTION("on a connection that was idle")
  {
    expected = AnswerTo("/first");
  }
  const std::string first = expected;
  expected += AnswerTo("/a", "Connection: close\r\n");
  const auto received = bench.Run([&](const common::Address& aAddress) {
    TcpStream stream(aAddress, "");
    std::string answer;
    if (!first.empty()) {
      stream.Send(Get("/first"));
      answer = stream.Receive(first.size(), 5s);
    }
    std::this_thread::sleep_for(100ms); // The server sees the connection without a request.
    stream.Send(Get("/a"));
    return answer + stream.ReceiveUntilClosed(5s).value_or("the connection does not end");
  });
  CHECK(received == expected);
}
