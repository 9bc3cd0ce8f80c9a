#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/TempDir.h"
#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>

using namespace dandelionstand;
using namespace dandelionstand::tests;

TEST_CASE("A process is controlled by its id and its exit status is reported", "[support]")
{
  const TempDir folder;
  Process process("standin-log", { "--listen", "127.0.0.1:0" }, folder.Path() / "log");
  const common::Address address(process.WaitForField("listening", "address"));
  CHECK(GetJson(address, "/counts").empty());

  SECTION("SIGTERM makes it exit with status 0")
  {
    process.Terminate();
    CHECK(process.Wait() == ExitResult{ 0, 0 });
  }
  SECTION("SIGKILL is reported as a signal, not as an exit")
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

TEST_CASE("A stand-in exits with status 2 if its command line is wrong", "[standins]")
{
  CHECK(RunToEnd("standin-log", { "--colour" }).exit_ == ExitResult{ 2, 0 });
  CHECK(RunToEnd("standin-log", { "--help" }).exit_ == ExitResult{ 0, 0 });
}

TEST_CASE("FreeAddress returns each address only once, even before it is bound", "[support]")
{
  constexpr std::size_t kAddressCount = 1'000;
  std::set<common::Address> addresses;
  while (addresses.size() < kAddressCount) {
    REQUIRE(addresses.insert(FreeAddress("127.0.0.1")).second);
  }
}
