#include "dandelionstand/http/RequestReader.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace dandelionstand::http;
using State = RequestReader::State;

namespace {

Limits SmallLimits()
{
  Limits limits;
  limits.headBytes_ = 256;
  limits.bodyBytes_ = 16;
  return limits;
}

//! Passes aBytes to a reader in pieces of aPieceSize bytes and returns the requests. Sets
//! aFinalState to the state of the reader afterwards.
std::vector<Request> ReadAll(const std::string& aBytes, std::size_t aPieceSize, State& aFinalState)
{
  RequestReader reader;
  std::vector<Request> requests;
  std::string unread;
  for (std::size_t offset = 0; offset < aBytes.size(); offset += aPieceSize) {
    unread += aBytes.substr(offset, aPieceSize);
    for (std::size_t used = 1;
         used > 0 && !unread.empty() && reader.CurrentState() != State::kFailed;) {
      used = reader.Read(unread, SmallLimits());
      unread.erase(0, used);
      if (reader.CurrentState() == State::kComplete) {
        requests.push_back(reader.ExtractRequest());
        used = 1;
      }
    }
  }
  aFinalState = reader.CurrentState();
  return requests;
}

const std::string kHostHeader = "Host: a.example\r\n";

} // namespace

TEST_CASE("Pipelined requests are read if their bytes are cut into pieces of any size",
          "[http][request]")
{
  const std::string bytes =
    "GET /one?x=1 HTTP/1.1\r\n" + kHostHeader + "\r\n\r\n" + "POST /two HTTP/1.1\r\n" +
    kHostHeader + "Content-Length: 4\r\n\r\nbody" + "PUT /three HTTP/1.1\r\n" + kHostHeader +
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nHost: trailer\r\n\r\n";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    State state{};
    const std::vector<Request> requests = ReadAll(bytes, size, state);
    INFO(size);
    REQUIRE(requests.size() == 3);
    CHECK(state == State::kIdle);
    CHECK(requests[0].method_ == "GET");
    CHECK(requests[0].target_ == "/one?x=1");
    CHECK(requests[0].Path() == "/one");
    CHECK(requests[0].isKeptAlive_);
    CHECK(requests[1].body_ == "body");
    CHECK(requests[2].body_ == "abcde");
    CHECK(requests[2].headers_.size() == 3);
    CHECK_FALSE(requests[2].isKeptAlive_);
  }
}

TEST_CASE("A request above a size limit is refused with status 431 or 413", "[http][request]")
{
  RequestReader reader;
  SECTION("head too large")
  {
    reader.Read("GET / HTTP/1.1\r\n" + kHostHeader + "Long: " + std::string(300, 'x'),
                SmallLimits());
    CHECK(reader.Status() == 431);
  }
  SECTION("body too large by its length")
  {
    reader.Read("POST / HTTP/1.1\r\n" + kHostHeader + "Content-Length: 17\r\n\r\n", SmallLimits());
    CHECK(reader.Status() == 413);
  }
  SECTION("chunked body too large")
  {
    reader.Read("POST / HTTP/1.1\r\n" + kHostHeader + "Transfer-Encoding: chunked\r\n\r\n" +
                  "11\r\n12345678901234567\r\n",
                SmallLimits());
    CHECK(reader.Status() == 413);
  }
  CHECK(reader.CurrentState() == State::kFailed);
}

TEST_CASE("A malformed request is refused", "[http][request]")
{
  const std::string cases[] = {
    "this is not HTTP\r\n\r\n",
    "GET http://a.example/ HTTP/1.1\r\n" + kHostHeader + "\r\n",
    "CONNECT a.example:80 HTTP/1.1\r\n" + kHostHeader + "\r\n",
    "GET / HTTP/1.1\r\n" + kHostHeader + "Content-Length: +1\r\n\r\nx",
    "POST / HTTP/1.1\r\n" + kHostHeader + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
  };
  for (const std::string& bytes : cases) {
    INFO(bytes);
    State state{};
    CHECK(ReadAll(bytes, bytes.size(), state).empty());
    CHECK(state == State::kFailed);
  }
}
