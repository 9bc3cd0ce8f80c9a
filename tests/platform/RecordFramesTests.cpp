#include "dandelionstand/platform/RecordFrames.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::platform;
using dandelionstand::common::Offset;

namespace {

constexpr std::size_t kMaxRecord = 8;
constexpr std::size_t kMaxTotal = 1000;

//! The answer to a read whose stream keeps offsets 1 to 9.
std::string AnswerWith(const std::vector<std::string>& aRecords)
{
  std::string bytes;
  AppendReadHeader(9, 0, bytes);
  for (const std::string& record : aRecords) {
    AppendFrame(record, bytes);
  }
  return bytes;
}

} // namespace

TEST_CASE("Record frames are read whole however their bytes are cut", "[platform][frames]")
{
  const std::vector<Record> records = { { Offset(3), "three" },
                                        { Offset(4), "" },
                                        { Offset(5), "5" } };
  const std::string bytes = AnswerWith({ "three", "", "5" });
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    FrameReader reader(Offset(3), kMaxRecord, kMaxTotal);
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      REQUIRE(reader.Feed(std::string_view(bytes).substr(at, size)));
    }
    CHECK(reader.IsAtFrameEnd());
    CHECK(reader.ExtractRecords() == records);
    CHECK(reader.FirstOffset() == Offset(1));
    CHECK(reader.EndOffset() == Offset(10));
  }
}

TEST_CASE("A truncated frame is noticed and its record is not delivered", "[platform][frames]")
{
  const std::string bytes = AnswerWith({ "one", "two" });
  FrameReader reader(Offset(1), kMaxRecord, kMaxTotal);
  CHECK(reader.Feed(std::string_view(bytes).substr(0, bytes.size() - 1)));
  CHECK_FALSE(reader.IsAtFrameEnd());
  CHECK(reader.ExtractRecords() == std::vector<Record>{ { Offset(1), "one" } });
}

TEST_CASE("A head that cannot be true is malformed", "[platform][frames]")
{
  FrameReader reader(Offset(5), kMaxRecord, kMaxTotal);
  std::string bytes;
  SECTION("the first offset is beyond the end")
  {
    AppendReadHeader(3, 4, bytes);
  }
  SECTION("an end without a successor")
  {
    AppendReadHeader(~std::uint64_t{ 0 }, 0, bytes);
  }
  CHECK_FALSE(reader.Feed(bytes));
  CHECK(reader.IsMalformed());
}

TEST_CASE("A record beyond the end is malformed", "[platform][frames]")
{
  FrameReader reader(Offset(9), kMaxRecord, kMaxTotal);
  CHECK_FALSE(reader.Feed(AnswerWith({ "9", "not yet appended" })));
  CHECK(reader.IsMalformed());
}

TEST_CASE("A key and a value make one record", "[platform][frames]")
{
  std::string key;
  std::string value;
  for (const char* text : { "", "value" }) {
    REQUIRE(DecodeKeyedRecord(EncodeKeyedRecord("key", text), key, value));
    CHECK(key == "key");
    CHECK(value == text);
  }
  CHECK_FALSE(DecodeKeyedRecord("", key, value));
  CHECK_FALSE(DecodeKeyedRecord("\x05key", key, value));
}

TEST_CASE("A record that is too long is delivered empty and ends the reading", "[platform][frames]")
{
  const std::string bytes = AnswerWith({ "one", std::string(50, 'x'), "three" });
  FrameReader reader(Offset(1), kMaxRecord, kMaxTotal);
  CHECK_FALSE(reader.Feed(bytes));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.OversizedCount() == 1);
  CHECK(reader.ExtractRecords() == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "" } });
}

TEST_CASE("Reading ends with a whole record once enough bytes are kept", "[platform][frames]")
{
  FrameReader reader(Offset(1), kMaxRecord, 7);
  CHECK_FALSE(reader.Feed(AnswerWith({ "one", "two" })));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.ExtractRecords().size() == 1);
}
