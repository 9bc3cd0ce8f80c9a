#include "dandelionstand/load/BodyCheck.h"

#include <catch2/catch.hpp>

using dandelionstand::load::BodyCheck;

namespace {

bool IsOwn(const std::string& aIdentity, const std::string& aBody)
{
  BodyCheck whole(aIdentity);
  whole.Take(aBody);
  BodyCheck bytewise(aIdentity);
  for (const char byte : aBody) {
    bytewise.Take(std::string_view(&byte, 1));
  }
  CHECK(whole.IsOwn() == bytewise.IsOwn());
  CHECK(whole.Bytes() == aBody.size());
  return whole.IsOwn();
}

} // namespace

TEST_CASE("A body is its call's own from the first byte to the last", "[load][answer]")
{
  CHECK(IsOwn("run-1", "run-1\n....\nrun-1"));
  CHECK(IsOwn("run-1", "run-1\n\nrun-1"));
}

TEST_CASE("A body of another call, cut or mixed, is not the call's own", "[load][answer]")
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
    CHECK_FALSE(IsOwn("run-1", body));
  }
}
