#ifndef dandelionstand_standins_proxy_Flow_h
#define dandelionstand_standins_proxy_Flow_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/proxy/Border.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

struct bufferevent;

namespace dandelionstand::standins {

//! The bytes of a connection in one direction, held in a bounded buffer while they are delayed.
class Flow
{
public:
  //! The border and both ends must outlive the flow.
  Flow(common::EventLoop& aLoop, Border& aBorder, bufferevent* aSource, bufferevent* aSink);

  //! Moves on whatever can be moved; to be called when the source has bytes, the sink has sent its
  //! bytes, or the rule has changed.
  void Pump();
  //! The source sends no more.
  void EndSource();
  //! Everything was passed on, and the end too.
  bool IsFinished() const { return isFinished_; }

private:
  struct Piece
  {
    common::TimePoint due_;
    std::string data_;
    bool isEnd_ = false;
  };

  void TakeFromSource();
  void Enqueue(std::string aData, bool aIsEnd);
  void PassToSink();
  void FinishIfSent();
  std::size_t HeldBytes() const;

  common::EventLoop& loop_;
  Border& border_;
  bufferevent* source_;
  bufferevent* sink_;
  std::deque<Piece> pieces_;
  std::size_t queuedBytes_ = 0;
  bool isSourceEnded_ = false;
  bool isEndQueued_ = false;
  bool isEndPassed_ = false;
  bool isFinished_ = false;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_Flow_h
