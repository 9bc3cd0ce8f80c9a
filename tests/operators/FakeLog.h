#ifndef tests_operators_FakeLog_h
#define tests_operators_FakeLog_h

#include "dandelionstand/config/Replica.h"
#include "dandelionstand/platform/Log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! What happens to one append.
enum class AppendFault
{
  kNone,
  kAnswerLost, //!< The record lands, the answer does not.
  kRecordLost, //!< Neither lands.
  kDelayed,    //!< The record lands later, when FakeLog::StoreDelayed is called.
  kOverloaded,
};

//! The configuration stream in memory, with faults on request.
class FakeLog
{
public:
  platform::AppendResult Append(const std::string& aData, AppendFault aFault);
  platform::ReadResult Read(common::Offset aFrom) const;

  //! Lets the records of late appends land.
  void StoreDelayed();
  //! Drops records below an offset.
  void DropBefore(common::Offset aFirst) { firstOffset_ = aFirst; }
  void SetUnavailable(bool aIsUnavailable) { isUnavailable_ = aIsUnavailable; }

  std::size_t RecordCount() const { return records_.size(); }
  common::Offset NextOffset() const { return common::Offset(records_.size() + 1); }
  //! What every reader makes of the records from the first one on.
  std::vector<config::Evaluated> Evaluate() const;
  config::ConfigStatePtr State() const;

private:
  common::Offset Store(const std::string& aData);

  std::vector<std::string> records_;
  std::vector<std::string> delayed_;
  common::Offset firstOffset_{ 1 };
  bool isUnavailable_ = false;
};

} // namespace dandelionstand::tests

#endif // tests_operators_FakeLog_h
