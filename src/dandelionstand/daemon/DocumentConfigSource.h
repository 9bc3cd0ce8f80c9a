#ifndef dandelionstand_daemon_DocumentConfigSource_h
#define dandelionstand_daemon_DocumentConfigSource_h

#include "dandelionstand/daemon/ConfigSource.h"
#include "dandelionstand/peer/DocumentTask.h"
#include "dandelionstand/platform/ConfigFeed.h"

#include <sigc++/trackable.h>

#include <string>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::daemon {

//! Configuration that the operator writes to the platform's store as complete documents.
class DocumentConfigSource
  : public ConfigSource
  , public sigc::trackable
{
public:
  DocumentConfigSource(common::EventLoop& aLoop,
                       common::Counters& aCounters,
                       peer::ControlSender& aSender,
                       peer::Transport& aTransport,
                       platform::Log& aLog,
                       const peer::Member& aSelf,
                       const peer::DocumentReadersSettings& aSettings);

  config::ConfigStatePtr ActiveState() override { return state_; }
  void SetMembers(const peer::Members& aMembers, bool aHasJoined) override;
  nlohmann::json Status() override;
  nlohmann::json DumpRoles() const override;

  //! Reads the store without a wait, beside the polls.
  void ReadStoreNow() { feed_.ReadNow(); }
  //! A peer has a version above the active one.
  void OnPeerVersion(const common::Address& aPeer, common::Version aVersion)
  {
    documentTask_.OnPeerVersion(aPeer, aVersion);
  }
  //! Emitted after each answer of the store with which the active version is its newest one, with
  //! the beginning of the read by common::BootNow.
  sigc::signal<void, common::TimePoint>& StoreRead() { return storeRead_; }

private:
  enum class Origin
  {
    kStore,
    kPeer,
  };

  void OnDocument(const std::string& aText, Origin aOrigin);
  void OnStoreAnswer(common::Offset aNextOffset, common::TimePoint aStartedAt);
  void OnReaderUpdated(bool aIsReader, common::Offset aNextOffset);

  common::Counters& counters_;
  peer::DocumentTask documentTask_;
  platform::ConfigFeed feed_;
  peer::Members members_;
  config::ConfigStatePtr state_;
  //! The newest document of the store was refused; its version must not be hidden from others by a
  //! confirmation of the active one.
  bool isNewestRefused_ = false;
  sigc::signal<void, common::TimePoint> storeRead_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_DocumentConfigSource_h
