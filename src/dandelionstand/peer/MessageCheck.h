#ifndef dandelionstand_peer_MessageCheck_h
#define dandelionstand_peer_MessageCheck_h

#include "dandelionstand/common/Findings.h"

#include <cstdint>
#include <string>

namespace dandelionstand::peer::wire {
class Envelope;
class JoinRecord;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Maximum of generations, revisions and times of sending, so that calculations with received ones
//! do not overflow.
constexpr std::uint64_t kMaxCountedNumber = std::uint64_t{ 1 } << 62;
//! Maximum of the remaining times in a call, 24 h.
constexpr std::uint32_t kMaxTimeLeftMs = 24U * 60 * 60 * 1000;

//! Checks a message of another daemon before anything uses it, and adds a finding for each value
//! that is out of bounds: names, addresses, numbers and counts. What follows relies on the result.
//! Contents that have a check of their own (records and documents of the configuration, bodies with
//! a checksum) are not examined.
void CheckEnvelope(const wire::Envelope& aEnvelope, common::Findings& aFindings);

//! Checks a record of the stream of join records. aKey is its key in the stream.
void CheckJoinRecord(const std::string& aKey,
                     const wire::JoinRecord& aRecord,
                     common::Findings& aFindings);

//! Key of the join record of an instance.
std::string JoinRecordKey(const std::string& aInstance);
//! Key of its withdrawal record. The join record has another key, because a daemon that restarts
//! overwrites it before it has read it.
std::string WithdrawalRecordKey(const std::string& aInstance);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_MessageCheck_h
