#ifndef dandelionstand_peer_DocumentTask_h
#define dandelionstand_peer_DocumentTask_h

#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/DocumentExchange.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <memory>
#include <string>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {

//! Runs a DocumentExchange on the event loop: sends its queries and answers those of peers.
class DocumentTask : public sigc::trackable
{
public:
  DocumentTask(common::EventLoop& aLoop, ControlSender& aSender, Transport& aTransport);
  ~DocumentTask();

  //! Sets the active document, with which queries of peers are answered.
  void SetDocument(common::Version aVersion, const std::string& aText);
  //! Emitted with each document received from a peer.
  sigc::signal<void, const std::string&>& Received() { return received_; }

private:
  void OnEnvelope(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void Tick();

  ControlSender& sender_;
  Transport& transport_;
  DocumentExchange exchange_;
  common::Version version_;
  std::string documentText_;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void, const std::string&> received_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentTask_h
