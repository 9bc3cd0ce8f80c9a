#ifndef dandelionstand_peer_DocumentTask_h
#define dandelionstand_peer_DocumentTask_h

#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/peer/DocumentExchange.h"
#include "dandelionstand/peer/DocumentReaders.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <memory>
#include <optional>
#include <string>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class DocumentConfirmation;
class DocumentMessage;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Runs DocumentReaders and a DocumentExchange on the event loop: sends confirmations and queries,
//! and answers the queries of peers.
class DocumentTask : public sigc::trackable
{
public:
  DocumentTask(common::EventLoop& aLoop,
               ControlSender& aSender,
               Transport& aTransport,
               DocumentReaders aReaders);
  ~DocumentTask();

  void SetMembers(const Members& aMembers) { readers_.SetMembers(aMembers); }
  //! Sets the active document, with which queries of peers are answered.
  void SetDocument(common::Version aVersion, const std::string& aText);
  //! The store answered a read of this daemon, and its documents were applied.
  void OnStoreAnswer(common::Offset aNextOffset);
  //! aPeer has a version above the active one, which is queried from it at once.
  void OnPeerVersion(const common::Address& aPeer, common::Version aVersion);
  const DocumentReaders& Readers() const { return readers_; }

  //! Emitted with each document received from a peer.
  sigc::signal<void, const std::string&>& Received() { return received_; }
  //! Emitted several times a second: whether this daemon is to poll the store, and the offset from
  //! which it reads on.
  sigc::signal<void, bool, common::Offset>& ReaderUpdated() { return readerUpdated_; }

private:
  void OnEnvelope(const PeerRef& aFrom, const wire::Envelope& aEnvelope);
  void OnDocumentMessage(const PeerRef& aFrom, const wire::DocumentMessage& aMessage);
  void OnConfirmation(const common::Address& aSender, const wire::DocumentConfirmation& aMessage);
  void Answer(const PeerRef& aTo, const wire::DocumentMessage& aQuery);
  void Send(const DocumentReaders::Confirmations& aConfirmations);
  void Tick();
  void QueryPeerIfBehind();

  ControlSender& sender_;
  Transport& transport_;
  DocumentReaders readers_;
  DocumentExchange exchange_;
  common::Version version_;
  std::string documentText_;
  std::optional<std::string> compressedText_; //!< Set once a peer has queried the document.
  bool isReader_ = false;
  std::unique_ptr<common::Watch> tick_;
  sigc::signal<void, const std::string&> received_;
  sigc::signal<void, bool, common::Offset> readerUpdated_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentTask_h
