#ifndef dandelionstand_dialect_TargetNotice_h
#define dandelionstand_dialect_TargetNotice_h

#include <optional>

namespace dandelionstand::dialect {

//! What a target states about itself in the head of an answer.
struct TargetNotice
{
  //! Requests per second that it accepts from all daemons together; nullopt if it names no limit.
  std::optional<double> maxRequestsPerSecond_;
  //! It is shutting down and accepts no new requests.
  bool isLeaving_ = false;
  //! It names a limit that cannot be parsed.
  bool hasInvalidLimit_ = false;

  bool operator==(const TargetNotice&) const = default;
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_TargetNotice_h
