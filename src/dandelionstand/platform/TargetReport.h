#ifndef dandelionstand_platform_TargetReport_h
#define dandelionstand_platform_TargetReport_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/target/TargetAnnouncement.h"

#include <optional>
#include <string>

namespace dandelionstand::platform {

//! Decodes the body of an endpoint's heartbeat; aId stands in its path. Nothing, with findings, if
//! it comes from another writer or cannot be read.
std::optional<target::TargetAnnouncement> DecodeHeartbeat(const std::string& aId,
                                                          const std::string& aBody,
                                                          common::Findings& aFindings);

//! Decodes an endpoint's leave, whose body may be empty.
target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_TargetReport_h
