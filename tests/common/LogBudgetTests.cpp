#include "dandelionstand/common/LogBudget.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLine = 200;
constexpr TimePoint kStart{ 1h };

LogBudget MakeBudget()
{
  return LogBudget({ .bytesPerSecond_ = 1000, .burstBytes_ = 10'000 });
}

} // namespace

TEST_CASE("A flood of plain lines leaves room for those of failures", "[common][log]")
{
  LogBudget budget = MakeBudget();
  int plain = 0;
  for (int line = 0; line < 1000; ++line) {
    plain += budget.Admit(Severity::kInfo, kLine, kStart) ? 1 : 0;
  }
  CHECK(plain == 25);
  int failures = 0;
  for (int line = 0; line < 1000; ++line) {
    failures += budget.Admit(Severity::kWarn, kLine, kStart) ? 1 : 0;
  }
  CHECK(failures == 75);
  CHECK(budget.Admit(Severity::kError, kLine, kStart));
  CHECK(budget.TakeDropped() == 975 + 925);
  CHECK(budget.TakeDropped() == 0);
}

TEST_CASE("The bytes of a log stay within its rate in the long run", "[common][log]")
{
  LogBudget budget = MakeBudget();
  std::size_t written = 0;
  for (TimePoint now = kStart; now < kStart + 100s; now += 10ms) {
    written += budget.Admit(Severity::kInfo, kLine, now) ? kLine : 0;
  }
  CHECK(written <= 110'000);
  CHECK(written >= 100'000);
}
