#include "dandelionstand/http/HeadCheck.h"

#include <catch2/catch.hpp>

#include <string>

using dandelionstand::http::CheckRequestHead;

namespace {

std::string HeadWith(const std::string& aLines)
{
  return "GET /x HTTP/1.1\r\nHost: a.example\r\n" + aLines + "\r\n";
}

} // namespace

TEST_CASE("A head with at most one length or encoding is accepted", "[http][head]")
{
  CHECK(CheckRequestHead(HeadWith("")).empty());
  CHECK(CheckRequestHead(HeadWith("Content-Length: 12\r\nX-Other:\tvalue\r\n")).empty());
  CHECK(CheckRequestHead(HeadWith("Transfer-Encoding: chunked\r\n")).empty());
}

TEST_CASE("Framing that can be read in two ways is reported as a fault", "[http][head]")
{
  const std::string lines[] = {
    "Content-Length: 4\r\nContent-Length: 5\r\n",
    "Content-Length: 4\r\nContent-Length: 4\r\n",
    "Content-Length : 4\r\n",
    "Content-Length: +4\r\n",
    "Content-Length: -4\r\n",
    "Content-Length: 4, 4\r\n",
    "Content-Length: 0x4\r\n",
    "Content-Length:\r\n",
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "X-Folded: one\r\n two\r\n",
    "X-Folded: one\r\n\ttwo\r\n",
    "No colon\r\n",
    ": no name\r\n",
    "X-Control: a\x01 b\r\n",
    "X-Bare: a\rb\r\n",
    "X-Bare: a\nInjected: b\r\n",
    "Host: b.example\r\n",
  };
  for (const std::string& text : lines) {
    INFO(text);
    CHECK_FALSE(CheckRequestHead(HeadWith(text)).empty());
  }
}

TEST_CASE("A missing or empty host is reported as a fault", "[http][head]")
{
  CHECK(CheckRequestHead("GET / HTTP/1.1\r\n\r\n") == "no Host");
  CHECK(CheckRequestHead("GET / HTTP/1.1\r\nHost:\r\n\r\n") == "empty Host");
}
