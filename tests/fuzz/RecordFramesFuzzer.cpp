//! Feeds answers of the log service to FrameReader in chunks; the first input byte sets the chunk
//! size.

#include "dandelionstand/platform/RecordFrames.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace dandelionstand;

namespace {

constexpr std::size_t kMaxRecordBytes = 64;
constexpr std::size_t kMaxTotalBytes = 256;

//! Aborts unless offsets increase strictly and no record exceeds kMaxRecordBytes.
void CheckRecords(const std::vector<platform::Record>& aRecords)
{
  std::uint64_t previousOffset = 0;
  for (const platform::Record& record : aRecords) {
    if (record.offset_.Get() <= previousOffset || record.data_.size() > kMaxRecordBytes) {
      std::abort();
    }
    previousOffset = record.offset_.Get();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::size_t chunkBytes = std::size_t{ aData[0] } + 1;
  std::string_view bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  platform::FrameReader reader(common::Offset(1), kMaxRecordBytes, kMaxTotalBytes);
  while (!bytes.empty() && reader.Feed(bytes.substr(0, chunkBytes))) {
    bytes.remove_prefix(std::min(chunkBytes, bytes.size()));
  }
  CheckRecords(reader.ExtractRecords());
  return 0;
}
