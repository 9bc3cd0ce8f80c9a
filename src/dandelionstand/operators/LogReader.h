#ifndef dandelionstand_operators_LogReader_h
#define dandelionstand_operators_LogReader_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Replica.h"

#include <functional>
#include <memory>
#include <vector>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::platform {
class Log;
struct ReadResult;
} // namespace dandelionstand::platform

namespace dandelionstand::operators {

//! Reads the configuration stream from its start to its current end.
class LogReader
{
public:
  //! Called once; aIsComplete is false if the timeout passed first or records are missing.
  using DoneCallback = std::function<void(bool aIsComplete)>;

  LogReader(common::EventLoop& aLoop, platform::Log& aLog, common::Duration aTimeout);
  ~LogReader();

  void Start(DoneCallback aDone);

  const config::Replica& GetReplica() const { return replica_; }
  //! All evaluated records, in log order.
  const std::vector<config::EvaluatedRecord>& Records() const { return records_; }

private:
  void ReadNext();
  void OnRead(const platform::ReadResult& aResult);

  common::EventLoop& loop_;
  platform::Log& log_;
  common::TimePoint deadline_;
  config::Replica replica_;
  std::vector<config::EvaluatedRecord> records_;
  std::unique_ptr<common::Watch> retryTimer_;
  DoneCallback done_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_LogReader_h
