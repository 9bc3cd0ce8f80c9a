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

//! Follows the operator's newest configuration document in the store.
//!
//! The newest record is read first; after that a long poll waits for the next one. Each daemon
//! polls for itself, so that no other daemon can delay a version: at 18 daemons a version costs
//! 12 copies across a region's border, some 40 KB, far below one download.
class ConfigFeed
{
public:
  using OnDocument = std::function<void(const std::string& aText)>;

  ConfigFeed(common::EventLoop& aLoop, Log& aLog, std::uint64_t aSeed, OnDocument aOnDocument);

  void Start();
  //! Time since the store last answered; Duration::max() if it never did.
  common::Duration TimeSinceLastAnswer() const;

private:
  void ReadNewest();
  void ReadNext();
  void OnAnswer(const KeyedReadResult& aResult, bool aIsNewest);
  void Retry();

  common::EventLoop& loop_;
  Log& log_;
  std::mt19937_64 random_;
  OnDocument onDocument_;
  common::Offset next_;
  common::Duration backoff_{ 0 };
  common::TimePoint answeredAt_;
  bool isConnected_ = false;
  bool hasAnswer_ = false;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ConfigFeed_h
