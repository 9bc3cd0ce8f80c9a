#include "dandelionstand/platform/RecordFrames.h"
#include "tests/platform/BlockingLogClient.h"
#include "tests/support/Tcp.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace dandelionstand;
using namespace dandelionstand::platform;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;
using common::Offset;

namespace {

//! Answers each connection with the same bytes and closes it.
class CannedServer
{
public:
  explicit CannedServer(std::string aAnswer)
    : listener_("127.0.0.1")
    , answer_(std::move(aAnswer))
    , thread_([this]() { Serve(); })
  {
  }
  ~CannedServer()
  {
    isEnding_ = true;
    thread_.join();
  }

  const common::Address& ListeningAddress() const { return listener_.ListeningAddress(); }

private:
  void Serve()
  {
    while (!isEnding_) {
      auto stream = listener_.Accept(20ms);
      if (!stream) {
        continue;
      }
      stream->Receive(1, 5s);
      stream->Send(answer_);
      stream->EndSending();
      stream->ReceiveToEnd(5s);
    }
  }

  TcpListener listener_;
  std::string answer_;
  std::atomic<bool> isEnding_ = false;
  std::thread thread_;
};

std::string Answer(const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string Head(std::uint64_t aEnd, std::uint64_t aFirst)
{
  std::string bytes;
  AppendReadHeader(aEnd, aFirst, bytes);
  return bytes;
}

std::string Frame(const std::string& aData)
{
  std::string bytes;
  AppendFrame(aData, bytes);
  return bytes;
}

} // namespace

TEST_CASE("The answer that the malformed ones are variants of is accepted", "[platform][malformed]")
{
  const CannedServer server(Answer("", Head(8, 0) + Frame("one")));
  BlockingLogClient client({ .address_ = server.ListeningAddress() });
  CHECK(client.Read(1).records_ == std::vector<Record>{ { Offset(1), "one" } });
}

TEST_CASE("A malformed answer to a read is unavailable and yields no record",
          "[platform][malformed]")
{
  const std::string body = Head(8, 0) + Frame("one");
  const std::string cases[] = {
    "",
    "\x01\x02\x03\xff\r\n\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 abc\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body,
    "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + body,
    "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n" + body,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + body,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + body,
    "HTTP/1.1 200 OK\r\nX: " + std::string(1'000'000, 'x') + "\r\n\r\n",
    Answer("", ""),
    Answer("", Frame("one")),
    Answer("", Head(8, 0).substr(0, 8)),
    Answer("", Head(~std::uint64_t{ 0 }, 0) + Frame("one")),
    Answer("", Head(0, 8)),
    Answer("", body.substr(0, 18)),
    Answer("", body.substr(0, body.size() - 1)),
    Answer("", Head(0, 0) + Frame("not yet appended")),
    Answer("", Head(1, 0) + Frame("one") + Frame("not yet appended")),
    "HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 410 Gone\r\nContent-Length: 22\r\n\r\n{\"first-offset\":\"many\"}",
    "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& answer : cases) {
    INFO(answer.substr(0, 200));
    const CannedServer server(answer);
    BlockingLogClient client({ .address_ = server.ListeningAddress(), .timeout_ = 5s });
    const ReadResult result = client.Read(1);
    CHECK(result.status_ == LogStatus::kUnavailable);
    CHECK(result.records_.empty());
    CHECK(client.Counter("log_reads_total{outcome=\"unavailable\"}") == 1);
  }
}

TEST_CASE("A frame that claims a huge record ends the read at once", "[platform][malformed]")
{
  const CannedServer server(
    Answer("", Head(8, 0) + Frame("one") + "\xff\xff\xff\xff" + "no such bytes"));
  BlockingLogClient client({ .address_ = server.ListeningAddress() });
  const ReadResult result = client.Read(1);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "" } });
}

TEST_CASE("A malformed answer to an append is unavailable, since it may have taken effect",
          "[platform][malformed]")
{
  const std::string cases[] = {
    Answer("", ""),
    Answer("", "offset 1"),
    Answer("", "[1]"),
    Answer("", R"({"offset":"1"})"),
    Answer("", R"({"offset":-1})"),
    Answer("", R"({"offset":1)"),
    Answer("", std::string(60'000, '[')),
    Answer("", R"({"offset":1})").substr(0, 30),
    "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& answer : cases) {
    INFO(answer.substr(0, 200));
    const CannedServer server(answer);
    BlockingLogClient client({ .address_ = server.ListeningAddress(), .timeout_ = 5s });
    CHECK(client.Append("x").status_ == LogStatus::kUnavailable);
    CHECK(client.Counter("log_appends_total{outcome=\"unavailable\"}") == 1);
  }
}
