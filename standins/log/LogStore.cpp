#include "standins/log/LogStore.h"

#include "dandelionstand/platform/RecordFrames.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::standins {

common::Offset LogStore::Append(const std::string& aStream,
                                std::string aData,
                                common::TimePoint aNow)
{
  Stream& stream = streams_[aStream];
  const std::uint64_t offset = stream.firstOffset_ + stream.entries_.size();
  std::string key;
  std::string value;
  if (aStream.starts_with("keyed.") && platform::DecodeKeyedRecord(aData, key, value)) {
    if (value.empty()) {
      stream.newestRecords_.erase(key);
    } else {
      stream.newestRecords_[key] = { value, common::Offset(offset) };
    }
  }
  stream.entries_.push_back({ std::move(aData), aNow });
  Expire(aNow);
  return common::Offset(offset);
}

std::string LogStore::ReadFrames(const std::string& aStream,
                                 common::Offset aFrom,
                                 std::size_t aMaxBytes)
{
  const Stream& stream = streams_[aStream];
  std::string frames;
  const std::uint64_t from = std::max(aFrom.Get(), stream.firstOffset_);
  for (std::size_t index = from - stream.firstOffset_; index < stream.entries_.size(); ++index) {
    if (frames.size() >= aMaxBytes) {
      break;
    }
    platform::AppendFrame(stream.entries_[index].data_, frames);
  }
  return frames;
}

const std::map<std::string, LogStore::NewestRecord>& LogStore::NewestRecords(
  const std::string& aStream)
{
  return streams_[aStream].newestRecords_;
}

void LogStore::TrimAll()
{
  for (const auto& [name, stream] : streams_) {
    Trim(name, NextOffset(name));
  }
}

void LogStore::Trim(const std::string& aStream, common::Offset aBefore)
{
  Stream& stream = streams_[aStream];
  while (!stream.entries_.empty() && stream.firstOffset_ < aBefore.Get()) {
    stream.entries_.pop_front();
    ++stream.firstOffset_;
  }
}

common::Offset LogStore::FirstOffset(const std::string& aStream)
{
  return common::Offset(streams_[aStream].firstOffset_);
}

common::Offset LogStore::NextOffset(const std::string& aStream)
{
  const Stream& stream = streams_[aStream];
  return common::Offset(stream.firstOffset_ + stream.entries_.size());
}

bool LogStore::IsOldestExpired(const Stream& aStream, common::TimePoint aNow) const
{
  const bool hasTooManyRecords =
    retention_.records_ != 0 && aStream.entries_.size() > retention_.records_;
  const bool isOldestTooOld =
    retention_.age_.count() != 0 && aNow - aStream.entries_.front().appendedAt_ > retention_.age_;
  return hasTooManyRecords || isOldestTooOld;
}

void LogStore::Expire(common::TimePoint aNow)
{
  for (auto& [name, stream] : streams_) {
    while (!stream.entries_.empty() && IsOldestExpired(stream, aNow)) {
      stream.entries_.pop_front();
      ++stream.firstOffset_;
    }
  }
}

} // namespace dandelionstand::standins
