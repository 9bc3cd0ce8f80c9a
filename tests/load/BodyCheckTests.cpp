#include "dandelionstand/load/BodyCheck.h"

#include <catch2/catch.hpp>

using dandelionstand::load::BodyCheck;

namespace {

bool IsMatch(const std::string& aIdentity, const std::string& aBody)
{
  BodyCheck singleChunk(aIdentity);
  singleChunk.Consume(aBody);
  BodyCheck bytewise(aIdentity);
  for (const char byte : aBody) {
    bytewise.Consume(std::string_view(&byte, 1));
  }
  CHECK(singleChunk.IsMatch() == bytewise.IsMatch());
  CHECK(singleChunk.ByteCount() == aBody.size());
  return singleChunk.IsMatch();
}

} // namespace

TEST_CASE("A complete body of the call's identity matches", "[load][answer]")
{
  CHECK(IsMatch("run-1", "run-1\n....\nrun-1"));
  CHECK(IsMatch("run-1", "run-1\n\nrun-1"));
}

TEST_CASE("A body that is cut short, altered or of another call does not match", "[load][answer]")
{
  for (const std::string body : { "",
                                  "run-1",
                                  "run-1\n",
                                  "run-1\n....",
                                  "run-1\n....\nrun-",
                                  "run-2\n....\nrun-2",
                                  "run-1\n....\nrun-2",
                                  "run-1\n..x.\nrun-1",
                                  "run-1\n....\nrun-1\n" }) {
    INFO(body);
    CHECK_FALSE(IsMatch("run-1", body));
  }
}
