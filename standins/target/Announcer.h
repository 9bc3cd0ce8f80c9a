#ifndef dandelionstand_standins_target_Announcer_h
#define dandelionstand_standins_target_Announcer_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/platform/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace dandelionstand::standins {

//! Announces a target and its readiness to the daemon beside it, and finally that it leaves.
class Announcer
{
public:
  struct Settings
  {
    common::Address daemonAdmin_;
    std::string service_;
    common::Address target_;
    common::Duration interval_ = std::chrono::milliseconds(500);
  };

  Announcer(common::EventLoop& aLoop, Settings aSettings);

  //! Announces the target now and then at each interval.
  void Start();
  //! Announces the new state at once, if Start was called.
  void SetReady(bool aIsReady);
  //! Stops the announcements and reports that the target leaves. Calls aOnDone when the daemon has
  //! answered or the request has failed.
  void AnnounceLeaving(std::function<void()> aOnDone);

private:
  void Announce();
  void Post(const std::string& aPath, bool aIsReady, platform::HttpClient::Callback aCallback);

  common::EventLoop& loop_;
  Settings settings_;
  bool isReady_ = true;
  platform::HttpClient client_;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_Announcer_h
