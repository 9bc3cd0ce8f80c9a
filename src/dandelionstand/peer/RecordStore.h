#ifndef dandelionstand_peer_RecordStore_h
#define dandelionstand_peer_RecordStore_h

#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace dandelionstand::peer::wire {
class SpreadingMessage;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

using Records = std::vector<platform::Record>;

//! Bounded cache of the latest consecutive records, used to answer fetches of members that lag.
class RecordStore
{
public:
  //! Appends a record whose offset directly follows that of the last one.
  void Append(platform::Record aRecord);
  //! To be called when the next record will not directly follow the last one.
  void Clear();

  //! True if the store has every record above aPosition up to its last one.
  bool Covers(common::Offset aPosition) const;
  //! Records above aPosition in order, as many as fit into one message. The first one is included
  //! even if it alone is too large.
  Records RecordsAfter(common::Offset aPosition) const;

private:
  std::deque<platform::Record> records_;
  std::size_t bytes_ = 0;
};

void AddRecords(wire::SpreadingMessage& aMessage, const Records& aRecords);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_RecordStore_h
