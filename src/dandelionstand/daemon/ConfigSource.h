#ifndef dandelionstand_daemon_ConfigSource_h
#define dandelionstand_daemon_ConfigSource_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Member.h"

#include <nlohmann/json.hpp>
#include <sigc++/signal.h>

namespace dandelionstand::daemon {

//! Where the configuration in force comes from. Its version never falls.
class ConfigSource
{
public:
  virtual ~ConfigSource();

  //! Null while there is none to serve by.
  virtual config::ConfigStatePtr InForce() = 0;
  virtual void SetMembers(const peer::Members& aMembers, bool aHasJoined) = 0;
  //! For the status that operators ask for.
  virtual nlohmann::json Status() = 0;
  //! For the dump of the process's state.
  virtual nlohmann::json DumpRoles() const = 0;

  //! Emitted with each version that came into force.
  sigc::signal<void, common::Version>& VersionChanged() { return versionChanged_; }

private:
  sigc::signal<void, common::Version> versionChanged_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_ConfigSource_h
