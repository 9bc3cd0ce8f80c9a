#ifndef dandelionstand_common_Ids_h
#define dandelionstand_common_Ids_h

#include "dandelionstand/common/StrongId.h"

#include <cstdint>
#include <string>

namespace dandelionstand::common {

//! Name of an instance; it stays the same when the instance's process is restarted.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
//! Number of one run of a daemon; a later run of the same instance has a greater one.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
//! Name of a failure domain, unique over all regions.
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
//! Name of a region.
using Region = StrongId<struct RegionTag, std::string>;
//! Name of a service; the endpoints of a service are interchangeable.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
//! Host and port, written "127.0.0.1:7000".
using Address = StrongId<struct AddressTag, std::string>;
//! Position of a record in one stream of the platform's log; the first record has offset 1.
using Offset = StrongId<struct OffsetTag, std::uint64_t>;
//! Configuration version: the offset of the publish record that made it; 0 is "none".
using Version = StrongId<struct VersionTag, std::uint64_t>;
//! Number of a call, unique within one incarnation of the daemon that took it.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;

} // namespace dandelionstand::common

#endif // dandelionstand_common_Ids_h
