#include "CallSession.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace dandelionstand::caller;

namespace {

std::string PathOf(const std::string& aName)
{
  return std::string(DANDELION_GOLDEN_DIR) + "/caller/" + aName + ".txt";
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  REQUIRE(file);
  return { std::istreambuf_iterator<char>(file), {} };
}

void CheckSession(const std::string& aName)
{
  const std::string path = PathOf(aName);
  const std::string session = ReadFile(path);
  const std::string played = test::CallSession().Play(session);
  if (std::getenv("DANDELION_APPROVE") != nullptr) {
    std::ofstream(path) << played;
    return;
  }
  INFO("session " << aName);
  CHECK(played == session);
}

} // namespace

TEST_CASE("Calls go as their approved sessions", "[caller][call][golden]")
{
  CheckSession("small_answer");
  CheckSession("retry_after_refusal");
  CheckSession("no_retry_after_unknown");
  CheckSession("not_run_only_if_all_attempts");
  CheckSession("deep_refusal");
  CheckSession("late_and_damaged_frames");
  CheckSession("download_continues");
  CheckSession("download_changed");
  CheckSession("large_answer_breaks");
  CheckSession("slow_caller");
  CheckSession("caller_gone");
}
