#ifndef dandelionstand_daemon_ConfigSource_h
#define dandelionstand_daemon_ConfigSource_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Member.h"

#include <nlohmann/json.hpp>
#include <sigc++/signal.h>

namespace dandelionstand::daemon {

//! Source of the active configuration, whose version never decreases.
class ConfigSource
{
public:
  virtual ~ConfigSource();

  //! The configuration to serve callers with; null while there is none.
  virtual config::ConfigStatePtr ActiveState() = 0;
  virtual void SetMembers(const peer::Members& aMembers, bool aHasJoined) = 0;
  //! The answer of GET /status.
  virtual nlohmann::json Status() = 0;
  //! Section "roles" of the answer of GET /dump.
  virtual nlohmann::json DumpRoles() const = 0;

  //! Emitted with each version that becomes active.
  sigc::signal<void, common::Version>& VersionChanged() { return versionChanged_; }

private:
  sigc::signal<void, common::Version> versionChanged_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_ConfigSource_h
