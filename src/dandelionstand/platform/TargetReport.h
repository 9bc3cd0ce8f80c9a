#ifndef dandelionstand_platform_TargetReport_h
#define dandelionstand_platform_TargetReport_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>
#include <string>
#include <string_view>

namespace dandelionstand::platform {

//! Adds a finding unless the id has 1 to 255 visible ASCII characters, since it is sent in a
//! header.
void CheckTargetId(std::string_view aId, common::Findings& aFindings);

//! Decodes the body of a target's heartbeat; aId is the target's id from the request path. If the
//! body is malformed, returns nullopt and adds the errors to aFindings.
std::optional<target::TargetAnnouncement> DecodeHeartbeat(const std::string& aId,
                                                          const std::string& aBody,
                                                          common::Findings& aFindings);

//! Decodes a target's leave report, whose body may be empty. The id in the path is sufficient, so a
//! start time that cannot be read is left out.
target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_TargetReport_h
