#ifndef dandelionstand_operators_PublishTask_h
#define dandelionstand_operators_PublishTask_h

#include "dandelionstand/operators/Publisher.h"

#include <functional>
#include <memory>
#include <string>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::operators {

//! Runs one Publisher on the event loop and carries out its actions on the log.
class PublishTask
{
public:
  using ProgressCallback = std::function<void(const std::string&)>;
  using DoneCallback = std::function<void(const PublishOutcome&)>;

  PublishTask(common::EventLoop& aLoop,
              platform::Log& aLog,
              PublisherSettings aSettings,
              PublishRequest aRequest);
  ~PublishTask();

  //! Calls aProgress with a message for each append and retry, and aDone once with the outcome.
  void Start(ProgressCallback aProgress, DoneCallback aDone);

private:
  void Dispatch(const PublishAction& aAction);
  void Execute(const ReadLog& aRead);
  void Execute(const AppendToLog& aAppend);
  void Execute(const Pause& aPause);
  void Execute(const ReportOutcome& aReport);

  common::EventLoop& loop_;
  platform::Log& log_;
  Publisher publisher_;
  std::unique_ptr<common::Watch> retryTimer_;
  ProgressCallback progress_;
  DoneCallback done_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_PublishTask_h
