#ifndef dandelionstand_common_StrongId_h
#define dandelionstand_common_StrongId_h

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace dandelionstand::common {

//! Wraps a value in a distinct type, so that identifiers of different kinds cannot be mixed up.
template<typename Tag, typename Value>
class StrongId
{
public:
  using ValueType = Value;

  StrongId() = default;
  explicit StrongId(Value aValue)
    : value_(std::move(aValue))
  {
  }

  const Value& Get() const { return value_; }

  auto operator<=>(const StrongId&) const = default;

private:
  Value value_{};
};

} // namespace dandelionstand::common

template<typename Tag, typename Value>
struct std::hash<dandelionstand::common::StrongId<Tag, Value>>
{
  std::size_t operator()(const dandelionstand::common::StrongId<Tag, Value>& aId) const
  {
    return std::hash<Value>{}(aId.Get());
  }
};

#endif // dandelionstand_common_StrongId_h
