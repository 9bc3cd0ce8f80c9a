#ifndef dandelionstand_dialect_RunState_h
#define dandelionstand_dialect_RunState_h

#include <string_view>

namespace dandelionstand::dialect {

//! Whether the target ran a request, as far as the daemon knows.
enum class RunState
{
  kUnknown,
  kNotRun,
  kRun,
};

//! The value of the Dandelion-Run header and of `run=` in logs.
std::string_view ToText(RunState aState);

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_RunState_h
