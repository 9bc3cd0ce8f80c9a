#include "dandelionstand/load/RunCounts.h"

#include <nlohmann/json.hpp>

namespace dandelionstand::load {

std::optional<std::vector<OrderRuns>> ParseRunCounts(const std::string& aText)
{
  const nlohmann::json counts = nlohmann::json::parse(aText, nullptr, false);
  if (!counts.is_object()) {
    return std::nullopt;
  }
  std::vector<OrderRuns> runs;
  for (const auto& [key, value] : counts.items()) {
    if (!value.is_number_unsigned()) {
      return std::nullopt;
    }
    runs.push_back({ key, value.get<std::uint64_t>() });
  }
  return runs;
}

} // namespace dandelionstand::load
