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

//! Runs one Publisher against the log on the event loop.
class PublishTask
{
public:
  using Progress = std::function<void(const std::string&)>;
  using Done = std::function<void(const PublishOutcome&)>;

  PublishTask(common::EventLoop& aLoop,
              platform::Log& aLog,
              PublisherSettings aSettings,
              PublishRequest aRequest);
  ~PublishTask();

  //! Calls aProgress with each step that an operator may want to see, and aDone once.
  void Start(Progress aProgress, Done aDone);

private:
  void Run(const PublishAction& aAction);
  void Do(const ReadLog& aRead);
  void Do(const AppendToLog& aAppend);
  void Do(const Pause& aPause);
  void Do(const ReportOutcome& aReport);

  common::EventLoop& loop_;
  platform::Log& log_;
  Publisher publisher_;
  std::unique_ptr<common::Watch> pause_;
  Progress progress_;
  Done done_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_PublishTask_h
