#include "standins/proxy/Flow.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr std::size_t kMaxHeldBytes = 1'048'576;
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
  TakeFromSource();
  PassToSink();
  FinishIfSent();
}

void Flow::EndSource()
{
  isSourceEnded_ = true;
  Pump();
}

void Flow::TakeFromSource()
{
  evbuffer* input = bufferevent_get_input(source_);
  while (evbuffer_get_length(input) > 0 && HeldBytes() < kMaxHeldBytes) {
    std::string data(std::min(evbuffer_get_length(input), kMaxPieceBytes), '\0');
    evbuffer_remove(input, data.data(), data.size());
    Enqueue(std::move(data), false);
  }
  if (isSourceEnded_ && !isEndQueued_ && evbuffer_get_length(input) == 0) {
    isEndQueued_ = true;
    Enqueue("", true);
  }
}

void Flow::Enqueue(std::string aData, bool aIsEnd)
{
  common::TimePoint due = border_.Schedule(aData.size(), common::Now());
  if (!pieces_.empty()) {
    // A delay that has been lowered must not reorder bytes.
    due = std::max(due, pieces_.back().due_);
  }
  queuedBytes_ += aData.size();
  pieces_.push_back({ due, std::move(aData), aIsEnd });
}

void Flow::PassToSink()
{
  const common::TimePoint now = common::Now();
  while (!pieces_.empty() && pieces_.front().due_ <= now) {
    const Piece& piece = pieces_.front();
    bufferevent_write(sink_, piece.data_.data(), piece.data_.size());
    border_.bytes_ += piece.data_.size();
    queuedBytes_ -= piece.data_.size();
    isEndPassed_ = isEndPassed_ || piece.isEnd_;
    pieces_.pop_front();
  }
  timer_.reset();
  if (!pieces_.empty()) {
    timer_ = loop_.After(pieces_.front().due_ - now, [this]() { Pump(); });
  }
}

void Flow::FinishIfSent()
{
  const bool isSent = evbuffer_get_length(bufferevent_get_output(sink_)) == 0;
  if (isEndPassed_ && isSent && !isFinished_) {
    isFinished_ = true;
    shutdown(bufferevent_getfd(sink_), SHUT_WR);
  }
}

std::size_t Flow::HeldBytes() const
{
  return queuedBytes_ + evbuffer_get_length(bufferevent_get_output(sink_));
}

} // namespace dandelionstand::standins
