//! Offers records of the configuration stream to the acceptance rule, raw and inside a valid frame.

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/StreamRecord.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

namespace {

void Offer(const std::string& aRecord)
{
  const config::ConfigState empty;
  const config::AcceptResult result = config::Accept(empty, common::Offset(1), aRecord);
  const bool isAccepted = result.outcome_ == config::AcceptOutcome::kAccepted;
  if (isAccepted != (result.nextState_ != nullptr)) {
    std::abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  Offer(bytes);
  Offer(config::EncodeStreamRecord({ config::RecordKind::kPublish, bytes }));
  Offer(config::EncodeStreamRecord({ config::RecordKind::kSnapshot, bytes }));
  return 0;
}
