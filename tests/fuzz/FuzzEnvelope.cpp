//! Any bytes are refused, or are an envelope that can be written again.

#include "dandelionstand/peer/generated/envelope.pb.h"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  dandelionstand::peer::wire::Envelope envelope;
  if (envelope.ParseFromArray(aData, static_cast<int>(aSize))) {
    envelope.SerializeAsString();
  }
  return 0;
}
