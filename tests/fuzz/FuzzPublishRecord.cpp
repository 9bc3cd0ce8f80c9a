//! Any record is accepted or refused without a change of the state; the body is tried in a frame
//! with the right checksum as well, so that the inputs get past it.

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/StreamRecord.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace dandelionstand;

namespace {

void Try(const std::string& aRecord)
{
  const config::AcceptResult result = config::Accept({}, common::Offset(9), aRecord);
  const bool isAccepted = result.outcome_ == config::AcceptOutcome::kAccepted;
  if (isAccepted != (result.next_ != nullptr)) {
    std::abort();
  }
  if (isAccepted && result.next_->version_ != common::Version(9)) {
    std::abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  Try(bytes);
  Try(config::EncodeStreamRecord({ config::RecordKind::kPublish, bytes }));
  return 0;
}
