#ifndef dandelionstand_platform_TargetReport_h
#define dandelionstand_platform_TargetReport_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>
#include <string>

namespace dandelionstand::platform {

//! Decodes the body of a target's heartbeat; aId is the target's id from the request path. If the
//! body is malformed, returns nullopt and adds the errors to aFindings.
std::optional<target::TargetAnnouncement> DecodeHeartbeat(const std::string& aId,
                                                          const std::string& aBody,
                                                          common::Findings& aFindings);

//! Decodes a target's leave report, whose body may be empty.
target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_TargetReport_h
