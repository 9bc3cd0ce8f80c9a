#ifndef dandelionstand_platform_ConfigFeed_h
#define dandelionstand_platform_ConfigFeed_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/Log.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace dandelionstand::platform {

//! Follows the configuration document that the operator publishes in the platform's store.
//!
//! Reads the newest document first, then long-polls for later ones. Each daemon polls the store
//! itself, so that no other daemon can delay a version. The additional copies across region borders
//! are small compared with one download.
class ConfigFeed
{
public:
  using OnDocument = std::function<void(const std::string& aText)>;

  ConfigFeed(common::EventLoop& aLoop, Log& aLog, std::uint64_t aSeed, OnDocument aOnDocument);

  void Start();
  //! Duration::max() if the store has never answered.
  common::Duration TimeSinceLastAnswer() const;

private:
  void ReadNewest();
  void ReadNext();
  void OnReadResult(const KeyedReadResult& aResult, bool aIsNewestRead);
  void ScheduleRetry();

  common::EventLoop& loop_;
  Log& log_;
  std::mt19937_64 random_;
  OnDocument onDocument_;
  common::Offset nextOffset_;
  common::Duration backoff_{ 0 };
  common::TimePoint lastAnswerAt_;
  bool isStoreReachable_ = false;
  bool hasAnswered_ = false;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ConfigFeed_h
