#include "dandelionstand/platform/RecordFrames.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::platform;
using dandelionstand::common::Offset;

namespace {

constexpr std::size_t kMaxRecord = 8;
constexpr std::size_t kMaxTotal = 1000;

std::string Frames(const std::vector<Record>& aRecords)
{
  std::string bytes;
  for (const Record& record : aRecords) {
    AppendFrame(record, bytes);
  }
  return bytes;
}

} // namespace

TEST_CASE("Record frames are read whole however their bytes are cut", "[platform][frames]")
{
  const std::vector<Record> records = { { Offset(3), "three" },
                                        { Offset(4), "" },
                                        { Offset(9), "9" } };
  const std::string bytes = Frames(records);
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    FrameReader reader(Offset(3), kMaxRecord, kMaxTotal);
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      REQUIRE(reader.Feed(std::string_view(bytes).substr(at, size)));
    }
    CHECK(reader.IsAtFrameEnd());
    CHECK(reader.TakeRecords() == records);
  }
}

TEST_CASE("A truncated frame is noticed and its record is not delivered", "[platform][frames]")
{
  const std::string bytes = Frames({ { Offset(1), "one" }, { Offset(2), "two" } });
  FrameReader reader(Offset(1), kMaxRecord, kMaxTotal);
  CHECK(reader.Feed(std::string_view(bytes).substr(0, bytes.size() - 1)));
  CHECK_FALSE(reader.IsAtFrameEnd());
  CHECK(reader.TakeRecords() == std::vector<Record>{ { Offset(1), "one" } });
}

TEST_CASE("Offsets that do not grow are malformed", "[platform][frames]")
{
  FrameReader reader(Offset(5), kMaxRecord, kMaxTotal);
  SECTION("before the one asked for")
  {
    CHECK_FALSE(reader.Feed(Frames({ { Offset(4), "x" } })));
  }
  SECTION("the same twice")
  {
    CHECK_FALSE(reader.Feed(Frames({ { Offset(5), "x" }, { Offset(5), "x" } })));
  }
  CHECK(reader.IsMalformed());
}

TEST_CASE("A record that is too long is delivered empty and ends the reading", "[platform][frames]")
{
  const std::string bytes =
    Frames({ { Offset(1), "one" }, { Offset(2), std::string(50, 'x') }, { Offset(3), "three" } });
  FrameReader reader(Offset(1), kMaxRecord, kMaxTotal);
  CHECK_FALSE(reader.Feed(bytes));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.OversizedCount() == 1);
  CHECK(reader.TakeRecords() == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "" } });
}

TEST_CASE("Reading ends with a whole record once enough bytes are kept", "[platform][frames]")
{
  FrameReader reader(Offset(1), kMaxRecord, 15);
  CHECK_FALSE(reader.Feed(Frames({ { Offset(1), "one" }, { Offset(2), "two" } })));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.TakeRecords().size() == 1);
}

TEST_CASE("An offset without a successor is malformed", "[platform][frames]")
{
  FrameReader reader(Offset(1), kMaxRecord, kMaxTotal);
  CHECK_FALSE(reader.Feed(Frames({ { Offset(~std::uint64_t{ 0 }), "" }, { Offset(2), "two" } })));
  CHECK(reader.IsMalformed());
  CHECK(reader.TakeRecords().empty());
}
