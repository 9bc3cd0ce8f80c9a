#include "dandelionstand/http/ClientConnection.h"
#include "tests/support/Tcp.h"

#include <catch2/catch.hpp>

#include <future>
#include <optional>
#include <string>

using namespace dandelionstand;
using namespace dandelionstand::http;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

struct Outcome
{
  std::optional<std::uint32_t> status_;
  std::string body_;
  bool isWhole_ = false;
  bool isReusable_ = false;
  std::optional<ClientFailure> failure_;
};

//! Sends one request to a server that reads its head, sends the bytes and ends as told.
class Bench
{
public:
  enum class End
  {
    kKeepOpen,
    kClose,
    kReset,
  };

  Outcome Ask(const std::string& aAnswer, End aEnd, const std::string& aBody = "")
  {
    TcpListener listener("127.0.0.1");
    common::HostAndPort server;
    common::ParseAddress(listener.ListeningAddress().Get(), server);
    auto served = std::async(std::launch::async, [&] { Serve(listener, aAnswer, aEnd); });
    ClientConnection connection(loop_, server, 5s);
    Outcome outcome;
    connection.Send({ "POST", "/x", { { "Host", "a" }, { "Id", "1" } }, aBody }, Handlers(outcome));
    const auto guard = loop_.After(5s, [this] { loop_.Stop(); });
    loop_.Run();
    connection.Cancel();
    isEnding_.set_value();
    served.get();
    return outcome;
  }

private:
  ClientConnection::Handlers Handlers(Outcome& aOutcome)
  {
    return { [](const ResponseHead& aHead) {
              const std::string_view id = FindHeader(aHead.headers_, "Id");
              return id.empty() || id == "1";
            },
             [&](ResponseHead aHead) { aOutcome.status_ = aHead.status_; },
             [&](std::string_view aData) { aOutcome.body_ += aData; },
             [&](bool aIsReusable) {
               aOutcome.isWhole_ = true;
               aOutcome.isReusable_ = aIsReusable;
               loop_.Stop();
             },
             [&](ClientFailure aFailure) {
               aOutcome.failure_ = aFailure;
               loop_.Stop();
             } };
  }

  void Serve(TcpListener& aListener, const std::string& aAnswer, End aEnd)
  {
    std::optional<TcpStream> stream = aListener.Accept(5s);
    if (!stream) {
      return;
    }
    stream->Receive(aEnd == End::kReset ? 1 : 40, 5s);
    stream->Send(aAnswer);
    if (aEnd == End::kClose) {
      stream->ShutdownSend();
    }
    if (aEnd != End::kReset) {
      isEnding_.get_future().wait();
    }
    // Closing with bytes of the request unread resets the connection.
  }

  common::EventLoop loop_;
  std::promise<void> isEnding_;
};

using End = Bench::End;

const std::string kWhole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

TEST_CASE("A whole response leaves a connection that may be used again", "[http][client]")
{
  const Outcome outcome = Bench().Ask(kWhole, End::kKeepOpen);
  CHECK(outcome.status_ == 200U);
  CHECK(outcome.body_ == "body");
  CHECK(outcome.isWhole_);
  CHECK(outcome.isReusable_);
}

TEST_CASE("A response to another request is read over", "[http][client]")
{
  const std::string foreign = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother";
  const Outcome outcome = Bench().Ask(foreign + kWhole, End::kKeepOpen);
  CHECK(outcome.body_ == "body");
  CHECK(outcome.isWhole_);
  CHECK_FALSE(outcome.isReusable_);
}

TEST_CASE("An interim response is read over", "[http][client]")
{
  const Outcome outcome = Bench().Ask("HTTP/1.1 100 Continue\r\n\r\n" + kWhole, End::kKeepOpen);
  CHECK(outcome.status_ == 200U);
  CHECK(outcome.body_ == "body");
}

TEST_CASE("A response without a length ends with an orderly end alone", "[http][client]")
{
  const std::string open = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody";
  CHECK(Bench().Ask(open, End::kClose).isWhole_);
  CHECK_FALSE(Bench().Ask(open, End::kClose).isReusable_);
  const Outcome reset = Bench().Ask(open, End::kReset, std::string(4'000'000, 'x'));
  CHECK_FALSE(reset.isWhole_);
  CHECK(reset.failure_ == ClientFailure::kBroken);
}

TEST_CASE("A cut or malformed response is a failure", "[http][client]")
{
  CHECK(Bench().Ask(kWhole.substr(0, kWhole.size() - 1), End::kClose).failure_ ==
        ClientFailure::kBroken);
  CHECK(Bench().Ask("", End::kClose).failure_ == ClientFailure::kBroken);
  CHECK(Bench().Ask("garbage that is no response\r\n\r\n", End::kKeepOpen).failure_ ==
        ClientFailure::kMalformed);
  CHECK(Bench()
          .Ask("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
               End::kKeepOpen)
          .failure_ == ClientFailure::kMalformed);
}

TEST_CASE("An answer before the body was sent whole ends the connection", "[http][client]")
{
  std::string body;
  body.resize(20'000'000, 'x');
  const Outcome outcome = Bench().Ask(kWhole, End::kKeepOpen, body);
  CHECK(outcome.isWhole_);
  CHECK_FALSE(outcome.isReusable_);
}

TEST_CASE("A server that does not accept has got nothing", "[http][client]")
{
  common::EventLoop loop;
  ClientConnection connection(loop, { "127.0.0.1", 1 }, 5s);
  std::optional<ClientFailure> failure;
  ClientConnection::Handlers handlers;
  handlers.onFailed_ = [&](ClientFailure aFailure) {
    failure = aFailure;
    loop.Stop();
  };
  connection.Send({ "GET", "/", {}, "" }, handlers);
  loop.Run();
  CHECK(failure == ClientFailure::kNotConnected);
  CHECK_FALSE(connection.WasSent());
}
