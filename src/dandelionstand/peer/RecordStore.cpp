#include "dandelionstand/peer/RecordStore.h"

#include "dandelionstand/peer/generated/spreading.pb.h"

#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kMaxRetainedBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t kMaxRetainedRecords = 4096;
constexpr std::size_t kMaxBytesPerMessage = std::size_t{ 256 } * 1024;

} // namespace

void RecordStore::Append(platform::Record aRecord)
{
  bytes_ += aRecord.data_.size();
  records_.push_back(std::move(aRecord));
  while (records_.size() > 1 &&
         (bytes_ > kMaxRetainedBytes || records_.size() > kMaxRetainedRecords)) {
    bytes_ -= records_.front().data_.size();
    records_.pop_front();
  }
}

void RecordStore::Clear()
{
  records_.clear();
  bytes_ = 0;
}

bool RecordStore::Covers(common::Offset aPosition) const
{
  return !records_.empty() && records_.front().offset_.Get() <= aPosition.Get() + 1;
}

Records RecordStore::RecordsAfter(common::Offset aPosition) const
{
  Records result;
  std::size_t bytes = 0;
  for (const platform::Record& record : records_) {
    if (record.offset_ <= aPosition) {
      continue;
    }
    bytes += record.data_.size();
    if (!result.empty() && bytes > kMaxBytesPerMessage) {
      break;
    }
    result.push_back(record);
  }
  return result;
}

void AddRecords(wire::SpreadingMessage& aMessage, const Records& aRecords)
{
  for (const platform::Record& record : aRecords) {
    wire::ConfigRecord* added = aMessage.add_records();
    added->set_offset(record.offset_.Get());
    added->set_data(record.data_);
  }
}

} // namespace dandelionstand::peer
