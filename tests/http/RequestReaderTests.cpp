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

//! The requests in aBytes, given in pieces of aSize bytes; aState is where the reader ends.
std::vector<Request> ReadAll(const std::string& aBytes, std::size_t aSize, State& aState)
{
  RequestReader reader;
  std::vector<Request> requests;
  std::string unread;
  for (std::size_t at = 0; at < aBytes.size(); at += aSize) {
    unread += aBytes.substr(at, aSize);
    for (std::size_t used = 1; used > 0 && !unread.empty() && reader.Now() != State::kBad;) {
      used = reader.Read(unread, SmallLimits());
      unread.erase(0, used);
      if (reader.Now() == State::kComplete) {
        requests.push_back(reader.Take());
        used = 1;
      }
    }
  }
  aState = reader.Now();
  return requests;
}

const std::string kHost = "Host: a.example\r\n";

} // namespace

TEST_CASE("Requests are read however their bytes are cut", "[http][request]")
{
  const std::string bytes = "GET /one?x=1 HTTP/1.1\r\n" + kHost + "\r\n\r\n" +
                            "POST /two HTTP/1.1\r\n" + kHost + "Content-Length: 4\r\n\r\nbody" +
                            "PUT /three HTTP/1.1\r\n" + kHost +
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

TEST_CASE("What is above a limit is refused with its own status", "[http][request]")
{
  RequestReader reader;
  SECTION("a head")
  {
    reader.Read("GET / HTTP/1.1\r\n" + kHost + "Long: " + std::string(300, 'x'), SmallLimits());
    CHECK(reader.Status() == 431);
  }
  SECTION("a body by its length")
  {
    reader.Read("POST / HTTP/1.1\r\n" + kHost + "Content-Length: 17\r\n\r\n", SmallLimits());
    CHECK(reader.Status() == 413);
  }
  SECTION("a body in chunks")
  {
    reader.Read("POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\n" +
                  "11\r\n12345678901234567\r\n",
                SmallLimits());
    CHECK(reader.Status() == 413);
  }
  CHECK(reader.Now() == State::kBad);
}

TEST_CASE("What is no request is refused", "[http][request]")
{
  const std::string cases[] = {
    "this is not HTTP\r\n\r\n",
    "GET http://a.example/ HTTP/1.1\r\n" + kHost + "\r\n",
    "CONNECT a.example:80 HTTP/1.1\r\n" + kHost + "\r\n",
    "GET / HTTP/1.1\r\n" + kHost + "Content-Length: +1\r\n\r\nx",
    "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
  };
  for (const std::string& bytes : cases) {
    INFO(bytes);
    State state{};
    CHECK(ReadAll(bytes, bytes.size(), state).empty());
    CHECK(state == State::kBad);
  }
}
