#ifndef dandelionstand_peer_DocumentReadersSettings_h
#define dandelionstand_peer_DocumentReadersSettings_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::peer {

//! Time limits of DocumentReaders.
struct DocumentReadersSettings
{
  //! Maximum wait of a long poll. A reader confirms the active version at least this often.
  common::Duration pollWait_ = std::chrono::milliseconds(1'100);
  //! Age of the newest confirmation from which backup readers poll the store.
  common::Duration backupTakeoverAge_ = std::chrono::milliseconds(1'400);
  //! The same for all other daemons, plus a random part of takeoverSpread_.
  common::Duration takeoverAge_ = std::chrono::milliseconds(1'540);
  common::Duration takeoverSpread_ = std::chrono::milliseconds(100);
};

//! The settings with which a version is active within aApplyLimit of its acknowledgement even if
//! all readers are lost just before it is written.
DocumentReadersSettings MakeDocumentReadersSettings(common::Duration aApplyLimit);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentReadersSettings_h
