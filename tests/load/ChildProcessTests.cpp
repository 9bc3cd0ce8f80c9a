#include "dandelionstand/load/ChildProcess.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace dandelionstand::load;
using namespace std::chrono_literals;

TEST_CASE("A child process reports its exit status", "[load][child]")
{
  ChildProcess child({ "/bin/sh", { "-c", "exit 3" }, "" });
  CHECK(child.Wait(30s) == 3);
  CHECK_FALSE(child.IsRunning());
}

TEST_CASE("A child process whose program does not exist exits with status 127", "[load][child]")
{
  ChildProcess child({ "/nonexistent", {}, "" });
  CHECK(child.Wait(30s) == 127);
}

TEST_CASE("A child process is killed when its owner is destroyed", "[load][child]")
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

TEST_CASE("A child process ended by a signal reports 128 plus the signal number", "[load][child]")
{
  ChildProcess child({ "/bin/sleep", { "600" }, "" });
  CHECK_FALSE(child.Wait(0s));
  child.SendSignal(SIGTERM);
  CHECK(child.Wait(30s) == 128 + SIGTERM);
}
