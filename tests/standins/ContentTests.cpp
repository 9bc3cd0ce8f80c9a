#include "standins/target/Content.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::standins;

TEST_CASE("Reading a part of a content returns the same bytes as reading the whole",
          "[standins][target]")
{
  const Content content("id", 3'000, 1, Filler::kPosition);
  const std::string whole = content.Read(0, 3'000);
  REQUIRE(whole.size() == 3'000);
  CHECK(whole.starts_with("id\n"));
  CHECK(whole.ends_with("\nid"));
  for (const std::uint64_t offset : { 0, 1, 2, 3, 997, 2'996, 2'999, 3'000, 4'000 }) {
    CHECK(content.Read(offset, 100) ==
          whole.substr(std::min<std::size_t>(offset, whole.size()), 100));
  }
}

TEST_CASE("Valid byte ranges are parsed and others are refused", "[standins][target]")
{
  CHECK(ParseRange("bytes=0-9", 100) == ByteRange{ 0, 9 });
  CHECK(ParseRange("bytes=90-", 100) == ByteRange{ 90, 99 });
  CHECK(ParseRange("bytes=90-500", 100) == ByteRange{ 90, 99 });
  CHECK(ParseRange("bytes=-10", 100) == ByteRange{ 90, 99 });
  for (const char* header :
       { "", "bytes=", "bytes=-", "bytes=100-", "bytes=9-3", "bytes=a-b", "rows=1-2" }) {
    CHECK_FALSE(ParseRange(header, 100));
  }
}
