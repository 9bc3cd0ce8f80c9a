#include "dandelionstand/platform/PlatformBounds.h"

#include <cmath>
#include <cstdlib>
#include <optional>

namespace dandelionstand::platform {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
//! If the platform requires a limit and states none.
constexpr common::Duration kDefaultRevocationLimit = std::chrono::seconds(5);

std::optional<double> ParseNonNegative(const std::string& aText)
{
  char* end = nullptr;
  const double number = std::strtod(aText.c_str(), &end);
  const bool isValid = !aText.empty() && *end == '\0' && std::isfinite(number) && number >= 0;
  return isValid ? std::optional(number) : std::nullopt;
}

std::optional<bool> ParseFlag(const std::string& aText)
{
  if (aText != "true" && aText != "false") {
    return std::nullopt;
  }
  return aText == "true";
}

common::Duration ToDuration(double aSeconds)
{
  return common::Duration(std::llround(aSeconds * kMicrosecondsPerSecond));
}

} // namespace

PlatformBounds ParseBounds(const std::vector<std::string>& aSettings, common::Findings& aFindings)
{
  PlatformBounds bounds;
  std::optional<bool> failsClosed = false;
  for (const std::string& setting : aSettings) {
    const auto equals = setting.find('=');
    const std::string name = setting.substr(0, equals);
    const bool isRelevant = name == "grace-period-s" || name == "retry-budget-ratio" ||
                            name == "budget-window-s" || name == "retry-budget-slack" ||
                            name == "configuration-apply-s" || name == "revocation-s" ||
                            name == "quota-window-s" || name == "quota-overage" ||
                            name == "quota-slack" || name == "fail-closed";
    if (!isRelevant) {
      continue;
    }
    const std::string value = equals == std::string::npos ? "" : setting.substr(equals + 1);
    if (name == "fail-closed") {
      failsClosed = ParseFlag(value);
      if (!failsClosed) {
        aFindings.Add({ "bounds", 0, name }, "must be true or false");
      }
      continue;
    }
    const std::optional<double> number = ParseNonNegative(value);
    if (!number) {
      aFindings.Add({ "bounds", 0, name }, "must be a non-negative number");
    } else if (name == "grace-period-s") {
      bounds.gracePeriod_ = ToDuration(*number);
    } else if (name == "configuration-apply-s") {
      bounds.configApplyLimit_ = ToDuration(*number);
    } else if (name == "quota-window-s") {
      bounds.quotaWindow_ = ToDuration(*number);
    } else if (name == "quota-overage") {
      bounds.quotaOverage_ = *number;
    } else if (name == "quota-slack") {
      bounds.quotaSlack_ = *number;
    } else if (name == "revocation-s") {
      bounds.revocationLimit_ = ToDuration(*number);
    } else if (name == "retry-budget-ratio") {
      bounds.retryBudgetRatio_ = *number;
    } else if (name == "budget-window-s") {
      bounds.retryBudgetWindow_ = ToDuration(*number);
    } else {
      bounds.retryBudgetSlack_ = *number;
    }
  }
  if (!failsClosed.value_or(false)) {
    bounds.revocationLimit_.reset();
  } else if (!bounds.revocationLimit_) {
    bounds.revocationLimit_ = kDefaultRevocationLimit;
  }
  if (bounds.quotaWindow_ && bounds.quotaWindow_->count() == 0) {
    aFindings.Add({ "bounds", 0, "quota-window-s" }, "must be positive");
  }
  return bounds;
}

} // namespace dandelionstand::platform
