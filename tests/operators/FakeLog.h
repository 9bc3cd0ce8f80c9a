#ifndef tests_operators_FakeLog_h
#define tests_operators_FakeLog_h

#include "dandelionstand/config/Replica.h"
#include "dandelionstand/platform/Log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! Fault to inject into one append.
enum class AppendFault
{
  kNone,
  kAnswerLost, //!< The record is stored, the answer is lost.
  kRecordLost, //!< The record is not stored and no answer arrives.
  kDelayed,    //!< No answer arrives; FakeLog::StoreDelayed stores the record.
  kOverloaded,
};

//! In-memory configuration stream with fault injection.
class FakeLog
{
public:
  platform::AppendResult Append(const std::string& aData, AppendFault aFault);
  platform::ReadResult Read(common::Offset aFrom) const;

  //! Stores the records of delayed appends.
  void StoreDelayed();
  //! Drops the records below aFirst.
  void DropBefore(common::Offset aFirst) { firstOffset_ = aFirst; }
  void SetUnavailable(bool aIsUnavailable) { isUnavailable_ = aIsUnavailable; }

  std::size_t RecordCount() const { return records_.size(); }
  common::Offset NextOffset() const { return common::Offset(records_.size() + 1); }
  //! Evaluates all records, including dropped ones, as a reader of the complete log does.
  std::vector<config::EvaluatedRecord> Evaluate() const;
  config::ConfigStatePtr State() const;

private:
  common::Offset Store(const std::string& aData);

  std::vector<std::string> records_;
  std::vector<std::string> delayedRecords_;
  common::Offset firstOffset_{ 1 };
  bool isUnavailable_ = false;
};

} // namespace dandelionstand::tests

#endif // tests_operators_FakeLog_h
