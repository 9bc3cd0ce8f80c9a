#ifndef dandelionstand_standins_proxy_Border_h
#define dandelionstand_standins_proxy_Border_h

#include "dandelionstand/common/StrongId.h"
#include "dandelionstand/common/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace dandelionstand::standins {

//! Identifies a failure domain by the second octet of its IP addresses, 127.<number>.0.0/16.
using DomainNumber = common::StrongId<struct DomainNumberTag, unsigned>;

//! One direction of the border between two failure domains.
struct BorderId
{
  DomainNumber from_;
  DomainNumber to_;

  auto operator<=>(const BorderId&) const = default;
};

//! The faults that are injected into one direction of a border.
struct BorderRule
{
  bool isCut_ = false;     //!< Resets connections opened in this direction, present and new ones.
  bool isDropped_ = false; //!< Bytes in this direction are held back; the connections stay open.
  common::Duration delay_{};
  std::uint64_t bytesPerSecond_ = 0; //!< 0 means no limit.
};

//! State of one direction of a border.
class Border
{
public:
  BorderRule rule_;
  std::uint64_t bytes_ = 0;       //!< Forwarded so far.
  std::uint64_t connections_ = 0; //!< Opened in this direction so far.

  //! Reserves bandwidth for aBytes and returns when they arrive on the other side.
  common::TimePoint Schedule(std::size_t aBytes, common::TimePoint aNow);

private:
  common::TimePoint freeAt_; //!< When the bandwidth is no longer in use.
};

//! All borders, each created at first use. References to them stay valid.
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
