#include "Golden.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace dandelionstand::tests {

namespace {

bool IsApproving()
{
  const char* value = std::getenv("DANDELION_APPROVE");
  return value != nullptr && std::string(value) == "1";
}

} // namespace

void CheckGolden(const std::string& aName, const std::string& aTranscript)
{
  const std::string path = std::string(DANDELION_GOLDEN_DIR) + "/" + aName;
  if (IsApproving()) {
    std::ofstream(path) << aTranscript;
    return;
  }
  std::ifstream file(path);
  REQUIRE(file);
  std::stringstream expected;
  expected << file.rdbuf();
  INFO(path);
  CHECK(aTranscript == expected.str());
}

} // namespace dandelionstand::tests
