#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/TempDir.h"
#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>

using namespace dandelionstand;
using namespace dandelionstand::tests;

TEST_CASE("A process is controlled by its id and its end is seen", "[support]")
{
  const TempDir folder;
  Process process("standin-log", { "--listen", "127.0.0.1:0" }, folder.Path() / "log");
  const common::Address address(process.WaitForField("listening", "address"));
  CHECK(GetJson(address, "/counts").empty());

  SECTION("SIGTERM ends it with status 0")
  {
    process.Terminate();
    CHECK(process.Wait() == ExitResult{ 0, 0 });
  }
  SECTION("SIGKILL is told apart from an exit")
  {
    process.Kill();
    CHECK(process.Wait() == ExitResult{ 0, SIGKILL });
    CHECK_FALSE(process.IsRunning());
  }
  SECTION("A paused process does not answer until it continues")
  {
    process.Pause();
    CHECK(HttpGet(address, "/counts", { .timeout_ = std::chrono::milliseconds(200) }).status_ == 0);
    process.Continue();
    CHECK(HttpGet(address, "/counts").status_ == 200);
  }
}

TEST_CASE("A wrong command line of a stand-in has an exit status of its own", "[standins]")
{
  CHECK(RunToEnd("standin-log", { "--colour" }).exit_ == ExitResult{ 2, 0 });
  CHECK(RunToEnd("standin-log", { "--help" }).exit_ == ExitResult{ 0, 0 });
}

TEST_CASE("A free address is promised only once, also before it is bound", "[support]")
{
  constexpr std::size_t kAddresses = 1'000;
  std::set<common::Address> given;
  while (given.size() < kAddresses) {
    REQUIRE(given.insert(FreeAddress("127.0.0.1")).second);
  }
}
