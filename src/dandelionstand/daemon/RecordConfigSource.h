#ifndef dandelionstand_daemon_RecordConfigSource_h
#define dandelionstand_daemon_RecordConfigSource_h

#include "dandelionstand/daemon/ConfigSource.h"
#include "dandelionstand/peer/SpreadingTask.h"

#include <sigc++/trackable.h>

namespace dandelionstand::daemon {

//! Configuration that operators publish as records in the native format.
class RecordConfigSource
  : public ConfigSource
  , public sigc::trackable
{
public:
  RecordConfigSource(common::EventLoop& aLoop,
                     common::Counters& aCounters,
                     peer::ControlSender& aSender,
                     peer::Transport& aTransport,
                     platform::Log& aLog,
                     const peer::Member& aSelf,
                     const peer::SpreadingSettings& aSettings);

  config::ConfigStatePtr ActiveState() override { return spreading_.ActiveConfig(); }
  void SetMembers(const peer::Members& aMembers, bool aHasJoined) override;
  nlohmann::json Status() override;
  nlohmann::json DumpRoles() const override;

private:
  peer::SpreadingTask spreading_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_RecordConfigSource_h
