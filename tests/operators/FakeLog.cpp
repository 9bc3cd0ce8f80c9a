#include "FakeLog.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::tests {

using platform::LogStatus;

platform::AppendResult FakeLog::Append(const std::string& aData, AppendFault aFault)
{
  if (isUnavailable_ || aFault == AppendFault::kRecordLost) {
    return { LogStatus::kUnavailable, {} };
  }
  switch (aFault) {
    case AppendFault::kOverloaded:
      return { LogStatus::kOverloaded, {} };
    case AppendFault::kDelayed:
      delayedRecords_.push_back(aData);
      return { LogStatus::kUnavailable, {} };
    case AppendFault::kAnswerLost:
      Store(aData);
      return { LogStatus::kUnavailable, {} };
    default:
      return { LogStatus::kOk, Store(aData) };
  }
}

common::Offset FakeLog::Store(const std::string& aData)
{
  records_.push_back(aData);
  return common::Offset(records_.size());
}

platform::ReadResult FakeLog::Read(common::Offset aFrom) const
{
  platform::ReadResult result;
  if (isUnavailable_) {
    return result;
  }
  result.firstOffset_ = firstOffset_;
  result.endOffset_ = NextOffset();
  result.status_ = aFrom < firstOffset_ ? LogStatus::kGap : LogStatus::kOk;
  if (result.status_ == LogStatus::kOk) {
    for (std::uint64_t offset = aFrom.Get(); offset < NextOffset().Get(); ++offset) {
      result.records_.push_back({ common::Offset(offset), records_[offset - 1] });
    }
  }
  return result;
}

void FakeLog::StoreDelayed()
{
  for (const std::string& data : std::exchange(delayedRecords_, {})) {
    Store(data);
  }
}

std::vector<config::EvaluatedRecord> FakeLog::Evaluate() const
{
  config::Replica replica;
  std::vector<config::EvaluatedRecord> all;
  for (std::size_t index = 0; index < records_.size(); ++index) {
    const config::LogRecord record{ common::Offset(index + 1), records_[index] };
    for (config::EvaluatedRecord& evaluated : replica.OnRecord(common::Offset(index), record)) {
      all.push_back(std::move(evaluated));
    }
  }
  return all;
}

config::ConfigStatePtr FakeLog::State() const
{
  config::ConfigStatePtr state = std::make_shared<const config::ConfigState>();
  for (const config::EvaluatedRecord& evaluated : Evaluate()) {
    state = evaluated.result_.nextState_ ? evaluated.result_.nextState_ : state;
  }
  return state;
}

} // namespace dandelionstand::tests
