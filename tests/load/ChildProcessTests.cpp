#include "dandelionstand/load/ChildProcess.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace dandelionstand::load;
using namespace std::chrono_literals;

TEST_CASE("A child reports its exit status", "[load][child]")
{
  ChildProcess child({ "/bin/sh", { "-c", "exit 3" }, "" });
  CHECK(child.Wait(30s) == 3);
  CHECK_FALSE(child.IsRunning());
}

TEST_CASE("A program that is not there ends with 127", "[load][child]")
{
  ChildProcess child({ "/nonexistent", {}, "" });
  CHECK(child.Wait(30s) == 127);
}

TEST_CASE("A child ends with its owner", "[load][child]")
{
  int pid = 0;
  {
    ChildProcess child({ "/bin/sleep", { "600" }, "" });
    pid = child.Pid();
    CHECK(child.IsRunning());
    ChildProcess moved = std::move(child);
    CHECK(moved.IsRunning());
  }
  CHECK(kill(pid, 0) == -1);
}

TEST_CASE("A signal ends a child", "[load][child]")
{
  ChildProcess child({ "/bin/sleep", { "600" }, "" });
  CHECK_FALSE(child.Wait(0s));
  child.Signal(SIGTERM);
  CHECK(child.Wait(30s) == 128 + SIGTERM);
}
