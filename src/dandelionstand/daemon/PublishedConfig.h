#ifndef dandelionstand_daemon_PublishedConfig_h
#define dandelionstand_daemon_PublishedConfig_h

#include "dandelionstand/daemon/ConfigSource.h"
#include "dandelionstand/peer/SpreadingTask.h"

#include <sigc++/trackable.h>

namespace dandelionstand::daemon {

//! The configuration that operators publish as records of the product's own.
class PublishedConfig
  : public ConfigSource
  , public sigc::trackable
{
public:
  PublishedConfig(common::EventLoop& aLoop,
                  common::Counters& aCounters,
                  peer::ControlSender& aSender,
                  peer::Transport& aTransport,
                  platform::Log& aLog,
                  const peer::Member& aSelf,
                  const peer::SpreadingSettings& aSettings);

  config::ConfigStatePtr InForce() override { return spreading_.ActiveConfig(); }
  void SetMembers(const peer::Members& aMembers, bool aHasJoined) override;
  nlohmann::json Status() override;
  nlohmann::json DumpRoles() const override;

private:
  peer::SpreadingTask spreading_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_PublishedConfig_h
