#include "dandelionstand/dialect/RunState.h"

namespace dandelionstand::dialect {

std::string_view ToText(RunState aState)
{
  switch (aState) {
    case RunState::kUnknown:
      return "unknown";
    case RunState::kNotRun:
      return "not-run";
    case RunState::kRun:
      return "run";
  }
  return "unknown";
}

} // namespace dandelionstand::dialect
