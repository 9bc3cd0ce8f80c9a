#ifndef dandelionstand_target_TargetMonitor_h
#define dandelionstand_target_TargetMonitor_h

#include "dandelionstand/target/TargetForwarder.h"
#include "dandelionstand/target/TargetRecord.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <memory>

namespace dandelionstand::target {

//! Keeps the gate into the target in step with what the target says of itself.
class TargetMonitor : public sigc::trackable
{
public:
  TargetMonitor(common::EventLoop& aLoop, common::Counters& aCounters, TargetForwarder& aForwarder);
  ~TargetMonitor();

  //! Returns with the gate closed if the target takes no more work, so that the announcement may
  //! be acknowledged at once.
  void OnAnnouncement(const TargetAnnouncement& aAnnouncement);
  bool IsReady() const { return isReady_; }

  //! Emitted with the service while the target takes work, and with an empty name when it stops.
  sigc::signal<void, const common::ServiceName&>& Changed() { return changed_; }

private:
  void OnTargetLost(const std::string& aReason);
  void Update(const char* aCause);

  common::Counters& counters_;
  TargetForwarder& forwarder_;
  TargetRecord record_;
  bool isReady_ = false;
  std::string readyIncarnationId_; //!< The start of the target that the gate is open for.
  std::uint32_t slots_ = 0;
  std::unique_ptr<common::Watch> updateTimer_;
  sigc::signal<void, const common::ServiceName&> changed_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetMonitor_h
