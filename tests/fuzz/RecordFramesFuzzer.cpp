//! Feeds answers of the log service, cut in pieces by their own first byte.

#include "dandelionstand/platform/RecordFrames.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace dandelionstand;

namespace {

constexpr std::size_t kMaxRecordBytes = 64;
constexpr std::size_t kMaxTotalBytes = 256;

//! Ends the process if a record breaks what the reader promises.
void Check(const std::vector<platform::Record>& aRecords)
{
  std::uint64_t last = 0;
  for (const platform::Record& record : aRecords) {
    if (record.offset_.Get() <= last || record.data_.size() > kMaxRecordBytes) {
      std::abort();
    }
    last = record.offset_.Get();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::size_t pieceBytes = std::size_t{ aData[0] } + 1;
  std::string_view bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  platform::FrameReader reader(common::Offset(1), kMaxRecordBytes, kMaxTotalBytes);
  while (!bytes.empty() && reader.Feed(bytes.substr(0, pieceBytes))) {
    bytes.remove_prefix(std::min(pieceBytes, bytes.size()));
  }
  Check(reader.ExtractRecords());
  return 0;
}
