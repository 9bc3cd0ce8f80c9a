#include "dandelionstand/platform/RecordFrames.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::platform;
using dandelionstand::common::Offset;

namespace {

constexpr std::size_t kRecordLimitBytes = 8;
constexpr std::size_t kTotalLimitBytes = 1000;

//! A read answer with these records, of a stream that retains offsets 1 to 9.
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

TEST_CASE("Record frames are parsed correctly from pieces of any size", "[platform][frames]")
{
  const std::vector<Record> records = { { Offset(3), "three" },
                                        { Offset(4), "" },
                                        { Offset(5), "5" } };
  const std::string bytes = AnswerWith({ "three", "", "5" });
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    FrameReader reader(Offset(3), kRecordLimitBytes, kTotalLimitBytes);
    for (std::size_t position = 0; position < bytes.size(); position += size) {
      REQUIRE(reader.Feed(std::string_view(bytes).substr(position, size)));
    }
    CHECK(reader.IsAtFrameEnd());
    CHECK(reader.ExtractRecords() == records);
    CHECK(reader.FirstOffset() == Offset(1));
    CHECK(reader.EndOffset() == Offset(10));
  }
}

TEST_CASE("A truncated frame is detected and its record is not delivered", "[platform][frames]")
{
  const std::string bytes = AnswerWith({ "one", "two" });
  FrameReader reader(Offset(1), kRecordLimitBytes, kTotalLimitBytes);
  CHECK(reader.Feed(std::string_view(bytes).substr(0, bytes.size() - 1)));
  CHECK_FALSE(reader.IsAtFrameEnd());
  CHECK(reader.ExtractRecords() == std::vector<Record>{ { Offset(1), "one" } });
}

TEST_CASE("An inconsistent header is malformed", "[platform][frames]")
{
  FrameReader reader(Offset(5), kRecordLimitBytes, kTotalLimitBytes);
  std::string bytes;
  SECTION("the first offset is above the end offset")
  {
    AppendReadHeader(3, 4, bytes);
  }
  SECTION("the end offset is the maximum value")
  {
    AppendReadHeader(~std::uint64_t{ 0 }, 0, bytes);
  }
  CHECK_FALSE(reader.Feed(bytes));
  CHECK(reader.IsMalformed());
}

TEST_CASE("A record at the end offset is malformed", "[platform][frames]")
{
  FrameReader reader(Offset(9), kRecordLimitBytes, kTotalLimitBytes);
  CHECK_FALSE(reader.Feed(AnswerWith({ "9", "not yet appended" })));
  CHECK(reader.IsMalformed());
}

TEST_CASE("A keyed record is decoded into its key and value", "[platform][frames]")
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

TEST_CASE("An oversized record is delivered without data and ends parsing", "[platform][frames]")
{
  const std::string bytes = AnswerWith({ "one", std::string(50, 'x'), "three" });
  FrameReader reader(Offset(1), kRecordLimitBytes, kTotalLimitBytes);
  CHECK_FALSE(reader.Feed(bytes));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.OversizedCount() == 1);
  CHECK(reader.ExtractRecords() == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "" } });
}

TEST_CASE("Parsing ends after a complete record once the total size is reached",
          "[platform][frames]")
{
  FrameReader reader(Offset(1), kRecordLimitBytes, 7);
  CHECK_FALSE(reader.Feed(AnswerWith({ "one", "two" })));
  CHECK_FALSE(reader.IsMalformed());
  CHECK(reader.ExtractRecords().size() == 1);
}
