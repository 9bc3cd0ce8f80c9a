#include "dandelionstand/platform/PlatformBounds.h"

#include <cmath>
#include <cstdlib>
#include <optional>

namespace dandelionstand::platform {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

std::optional<double> ReadNumber(const std::string& aText)
{
  char* end = nullptr;
  const double number = std::strtod(aText.c_str(), &end);
  const bool isWhole = !aText.empty() && *end == '\0' && std::isfinite(number) && number >= 0;
  return isWhole ? std::optional(number) : std::nullopt;
}

common::Duration Seconds(double aSeconds)
{
  return common::Duration(std::llround(aSeconds * kMicrosecondsPerSecond));
}

} // namespace

PlatformBounds ParseBounds(const std::vector<std::string>& aTexts, common::Findings& aFindings)
{
  PlatformBounds bounds;
  for (const std::string& text : aTexts) {
    const auto equals = text.find('=');
    const std::string name = text.substr(0, equals);
    const bool isUsed = name == "grace-period-s" || name == "retry-budget-ratio" ||
                        name == "budget-window-s" || name == "retry-budget-slack";
    if (!isUsed) {
      continue;
    }
    const std::string value = equals == std::string::npos ? "" : text.substr(equals + 1);
    const std::optional<double> number = ReadNumber(value);
    if (!number) {
      aFindings.Add({ "bounds", 0, name }, "must be a number that is not negative");
    } else if (name == "grace-period-s") {
      bounds.gracePeriod_ = Seconds(*number);
    } else if (name == "retry-budget-ratio") {
      bounds.retryBudgetRatio_ = *number;
    } else if (name == "budget-window-s") {
      bounds.retryBudgetWindow_ = Seconds(*number);
    } else {
      bounds.retryBudgetSlack_ = *number;
    }
  }
  return bounds;
}

} // namespace dandelionstand::platform
