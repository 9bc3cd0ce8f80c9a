//! Parses messages between daemons. A parsed message must parse again after serialization.

#include "dandelionstand/peer/generated/envelope.pb.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  peer::wire::Envelope envelope;
  if (!envelope.ParseFromArray(aData, static_cast<int>(aSize))) {
    return 0;
  }
  peer::wire::Envelope reparsed;
  if (!reparsed.ParseFromString(envelope.SerializeAsString())) {
    std::abort();
  }
  return 0;
}
