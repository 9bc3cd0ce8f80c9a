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

//! The latest records in order without gaps, bounded, to answer members that lag.
class RecordStore
{
public:
  //! Appends the record that follows the last one.
  void Append(platform::Record aRecord);
  //! Forgets everything, because the next record does not follow the last one.
  void Clear();

  //! True if every record above aPosition up to the last one is kept.
  bool Covers(common::Offset aPosition) const;
  //! Records above aPosition in order, as many as fit into one message but at least one.
  Records After(common::Offset aPosition) const;

private:
  std::deque<platform::Record> records_;
  std::size_t bytes_ = 0;
};

//! Appends the records to a message.
void AddRecords(wire::SpreadingMessage& aMessage, const Records& aRecords);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_RecordStore_h
