#include "standins/proxy/Flow.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr std::size_t kMaxBufferedBytes = 1'048'576;
constexpr std::size_t kMaxPieceBytes = 16'384;

} // namespace

Flow::Flow(common::EventLoop& aLoop, Border& aBorder, bufferevent* aSource, bufferevent* aSink)
  : loop_(aLoop)
  , border_(aBorder)
  , source_(aSource)
  , sink_(aSink)
{
}

void Flow::Pump()
{
  if (border_.rule_.isDropped_) {
    return;
  }
  ReadFromSource();
  WriteToSink();
  ShutdownSinkIfSent();
}

void Flow::OnSourceEof()
{
  isSourceAtEof_ = true;
  Pump();
}

void Flow::ReadFromSource()
{
  evbuffer* input = bufferevent_get_input(source_);
  while (evbuffer_get_length(input) > 0 && BufferedBytes() < kMaxBufferedBytes) {
    std::string data(std::min(evbuffer_get_length(input), kMaxPieceBytes), '\0');
    evbuffer_remove(input, data.data(), data.size());
    Enqueue(std::move(data), false);
  }
  if (isSourceAtEof_ && !isEofQueued_ && evbuffer_get_length(input) == 0) {
    isEofQueued_ = true;
    Enqueue("", true);
  }
}

void Flow::Enqueue(std::string aData, bool aIsEof)
{
  common::TimePoint dueAt = border_.Schedule(aData.size(), common::Now());
  if (!pieces_.empty()) {
    // A lowered delay must not let these bytes overtake earlier ones.
    dueAt = std::max(dueAt, pieces_.back().dueAt_);
  }
  queuedBytes_ += aData.size();
  pieces_.push_back({ dueAt, std::move(aData), aIsEof });
}

void Flow::WriteToSink()
{
  const common::TimePoint now = common::Now();
  while (!pieces_.empty() && pieces_.front().dueAt_ <= now) {
    const Piece& piece = pieces_.front();
    bufferevent_write(sink_, piece.data_.data(), piece.data_.size());
    border_.bytes_ += piece.data_.size();
    queuedBytes_ -= piece.data_.size();
    isEofForwarded_ = isEofForwarded_ || piece.isEof_;
    pieces_.pop_front();
  }
  timer_.reset();
  if (!pieces_.empty()) {
    timer_ = loop_.After(pieces_.front().dueAt_ - now, [this]() { Pump(); });
  }
}

void Flow::ShutdownSinkIfSent()
{
  const bool isSent = evbuffer_get_length(bufferevent_get_output(sink_)) == 0;
  if (isEofForwarded_ && isSent && !isFinished_) {
    isFinished_ = true;
    shutdown(bufferevent_getfd(sink_), SHUT_WR);
  }
}

std::size_t Flow::BufferedBytes() const
{
  return queuedBytes_ + evbuffer_get_length(bufferevent_get_output(sink_));
}

} // namespace dandelionstand::standins
