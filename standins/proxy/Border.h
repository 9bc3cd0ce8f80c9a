#ifndef dandelionstand_standins_proxy_Border_h
#define dandelionstand_standins_proxy_Border_h

#include "dandelionstand/common/StrongId.h"
#include "dandelionstand/common/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace dandelionstand::standins {

//! A failure domain: the second part of its IP numbers, 127.<number>.0.0/16.
using DomainNumber = common::StrongId<struct DomainNumberTag, unsigned>;

//! A border in one direction.
struct BorderId
{
  DomainNumber from_;
  DomainNumber to_;

  auto operator<=>(const BorderId&) const = default;
};

//! The faults of one direction of a border.
struct BorderRule
{
  bool isCut_ = false;     //!< Connections opened in this direction are reset, new ones too.
  bool isDropped_ = false; //!< Bytes in this direction are held back without a sign.
  common::Duration delay_{};
  std::uint64_t bytesPerSecond_ = 0; //!< 0 stands for no limit.
};

//! One direction of a border: its rule, what crossed it, and when its bandwidth is free again.
class Border
{
public:
  BorderRule rule_;
  std::uint64_t bytes_ = 0;
  std::uint64_t connections_ = 0;

  //! Passes aBytes over the border and returns when they arrive on the other side.
  common::TimePoint Schedule(std::size_t aBytes, common::TimePoint aNow);

private:
  common::TimePoint freeAt_;
};

//! All borders, made at first use; references stay valid.
class Borders
{
public:
  Border& At(BorderId aId) { return borders_[aId]; }
  const std::map<BorderId, Border>& All() const { return borders_; }

private:
  std::map<BorderId, Border> borders_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_Border_h
