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

//! One direction of a proxied connection. Delayed bytes are held in a bounded buffer.
class Flow
{
public:
  //! The border, the source and the sink must outlive the flow.
  Flow(common::EventLoop& aLoop, Border& aBorder, bufferevent* aSource, bufferevent* aSink);

  //! Forwards the bytes that are due. To be called when the source is readable, the sink has sent
  //! its output or the border's rule has changed.
  void Pump();
  //! To be called when the source has reached its end of stream.
  void OnSourceEof();
  //! True once all bytes and the end of stream are forwarded.
  bool IsFinished() const { return isFinished_; }

private:
  struct Piece
  {
    common::TimePoint dueAt_;
    std::string data_;
    bool isEof_ = false;
  };

  void ReadFromSource();
  void Enqueue(std::string aData, bool aIsEof);
  void WriteToSink();
  void ShutdownSinkIfSent();
  std::size_t BufferedBytes() const;

  common::EventLoop& loop_;
  Border& border_;
  bufferevent* source_;
  bufferevent* sink_;
  std::deque<Piece> pieces_;
  std::size_t queuedBytes_ = 0;
  bool isSourceAtEof_ = false;
  bool isEofQueued_ = false;
  bool isEofForwarded_ = false;
  bool isFinished_ = false;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_Flow_h
