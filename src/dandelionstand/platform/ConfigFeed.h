#ifndef dandelionstand_platform_ConfigFeed_h
#define dandelionstand_platform_ConfigFeed_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/Log.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace dandelionstand::platform {

//! Follows the configuration document that the operator publishes in the platform's store.
//!
//! Reads the newest document at the start. Long-polls for later ones while SetPolling(true) is in
//! effect.
class ConfigFeed
{
public:
  struct Handlers
  {
    std::function<void(const std::string& aText)> onDocument_;
    //! Called after each answer of the store, after its documents. aStartedAt: when the read began,
    //! by common::BootNow.
    std::function<void(common::Offset aNextOffset, common::TimePoint aStartedAt)> onAnswer_;
  };

  //! aMaxPollWait: maximum wait of a long poll.
  ConfigFeed(common::EventLoop& aLoop,
             Log& aLog,
             std::uint64_t aSeed,
             common::Duration aMaxPollWait,
             Handlers aHandlers);

  void Start();
  //! Starts polling, or stops it after the poll that is in progress.
  void SetPolling(bool aIsPolling);
  //! Reads what is new once, without a wait and beside the polls. Does nothing while such a read is
  //! in progress.
  void ReadNow();
  //! The next poll starts at aOffset or later; the records below are known from elsewhere.
  void SkipTo(common::Offset aOffset) { nextOffset_ = std::max(nextOffset_, aOffset); }
  //! Duration::max() if the store has never answered.
  common::Duration TimeSinceLastAnswer() const;

private:
  void ReadNewest();
  void ReadNext();
  void OnReadResult(const KeyedReadResult& aResult,
                    bool aIsNewestRead,
                    common::TimePoint aStartedAt);
  //! Passes the documents of an answer on. False if it has none.
  bool Deliver(const KeyedReadResult& aResult, common::TimePoint aStartedAt);
  void ScheduleRetry();
  //! Polls, or waits for SetPolling(true).
  void Continue();

  common::EventLoop& loop_;
  Log& log_;
  std::mt19937_64 random_;
  common::Duration maxPollWait_;
  Handlers handlers_;
  bool isPolling_ = false;
  bool isIdle_ = false; //!< No read is in progress or scheduled.
  bool isReadingNow_ = false;
  common::Offset nextOffset_;
  common::Duration backoff_{ 0 };
  common::TimePoint lastAnswerAt_;
  bool isStoreReachable_ = false;
  bool hasAnswered_ = false;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ConfigFeed_h
