#include "dandelionstand/common/Counters.h"

namespace dandelionstand::common {

std::uint64_t Counters::Get(const std::string& aName) const
{
  const auto found = values_.find(aName);
  return found == values_.end() ? 0 : found->second;
}

std::string Counters::ToText() const
{
  std::string text;
  for (const auto& [name, value] : values_) {
    text += "dandelion_" + name + " " + std::to_string(value) + "\n";
  }
  return text;
}

} // namespace dandelionstand::common
