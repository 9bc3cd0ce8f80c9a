#ifndef dandelionstand_common_Ids_h
#define dandelionstand_common_Ids_h

#include "dandelionstand/common/StrongId.h"

#include <cstdint>
#include <string>

namespace dandelionstand::common {

//! Name of an instance; it does not change when the instance's process is restarted.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
//! Number of one run of a daemon; it increases with each run of the same instance.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
//! Name of a failure domain, unique across all regions.
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
using Region = StrongId<struct RegionTag, std::string>;
//! Name of a service; the endpoints of a service are interchangeable.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
//! Name of an organisation, on whose behalf callers send requests.
using OrganisationName = StrongId<struct OrganisationNameTag, std::string>;
//! Host and port, such as "127.0.0.1:7000".
using Address = StrongId<struct AddressTag, std::string>;
//! Position of a record in one stream of the platform's log; the first record has offset 1.
using Offset = StrongId<struct OffsetTag, std::uint64_t>;
//! Configuration version: the offset of the publish record that created it; 0 means none.
using Version = StrongId<struct VersionTag, std::uint64_t>;
//! Number of a call, unique within one incarnation of the daemon that accepted it.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;

} // namespace dandelionstand::common

#endif // dandelionstand_common_Ids_h
