#include "dandelionstand/common/LogBudget.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLineBytes = 200;
constexpr TimePoint kStart{ 1h };

LogBudget MakeBudget()
{
  return LogBudget({ .bytesPerSecond_ = 1000, .burstBytes_ = 10'000 });
}

} // namespace

TEST_CASE("A flood of info lines leaves room for warnings and errors", "[common][log]")
{
  LogBudget budget = MakeBudget();
  int infoLines = 0;
  for (int line = 0; line < 1000; ++line) {
    infoLines += budget.Admit(Severity::kInfo, kLineBytes, kStart) ? 1 : 0;
  }
  CHECK(infoLines == 25);
  int warnLines = 0;
  for (int line = 0; line < 1000; ++line) {
    warnLines += budget.Admit(Severity::kWarn, kLineBytes, kStart) ? 1 : 0;
  }
  CHECK(warnLines == 75);
  CHECK(budget.Admit(Severity::kError, kLineBytes, kStart));
  CHECK(budget.ConsumeDroppedCount() == 975 + 925);
  CHECK(budget.ConsumeDroppedCount() == 0);
}

TEST_CASE("The bytes written to the log stay within its rate in the long run", "[common][log]")
{
  LogBudget budget = MakeBudget();
  std::size_t written = 0;
  for (TimePoint now = kStart; now < kStart + 100s; now += 10ms) {
    written += budget.Admit(Severity::kInfo, kLineBytes, now) ? kLineBytes : 0;
  }
  CHECK(written <= 110'000);
  CHECK(written >= 100'000);
}
