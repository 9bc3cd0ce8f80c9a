//! Decodes snapshots and deltas. The state of a decoded snapshot must match its hash, and a decoded
//! delta must apply without a crash.

#include "dandelionstand/config/Compression.h"
#include "dandelionstand/config/Delta.h"
#include "dandelionstand/config/Snapshot.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

namespace {

void CheckSnapshot(const std::string& aBody)
{
  common::Findings findings;
  const auto snapshot = config::DecodeSnapshot(aBody, "fuzz", findings);
  if (snapshot && config::HashOf(*snapshot->state_) != snapshot->hash_) {
    std::abort();
  }
}

void CheckDelta(const std::string& aData)
{
  common::Findings findings;
  const auto delta = config::DecodeDelta(aData, "fuzz", findings);
  if (delta) {
    config::ApplyDelta({}, *delta);
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckSnapshot(bytes);
  CheckDelta(bytes);
  CheckDelta("p" + bytes);
  return 0;
}
