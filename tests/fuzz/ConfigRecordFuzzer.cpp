//! Passes records of the configuration stream to Accept(), raw and inside a valid stream record.

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/StreamRecord.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

namespace {

void CheckRecord(const std::string& aRecord)
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
  CheckRecord(bytes);
  CheckRecord(config::EncodeStreamRecord({ config::RecordKind::kPublish, bytes }));
  CheckRecord(config::EncodeStreamRecord({ config::RecordKind::kSnapshot, bytes }));
  return 0;
}
