#include "standins/target/BodySender.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr std::uint64_t kPieceBytes = 65'536;

} // namespace

BodySender::BodySender(common::EventLoop& aLoop,
                       std::shared_ptr<Responder> aResponder,
                       Content aContent,
                       ResponseOptions aOptions,
                       std::function<void()> aOnDone)
  : loop_(aLoop)
  , responder_(std::move(aResponder))
  , content_(std::move(aContent))
  , options_(std::move(aOptions))
  , onDone_(std::move(aOnDone))
{
}

void BodySender::Start()
{
  responder_->StartBody(
    options_.status_, options_.headers_, options_.range_.last_ - options_.range_.first_ + 1);
  ScheduleNextPiece();
}

void BodySender::ScheduleNextPiece()
{
  if (options_.pieceDelay_.count() == 0) {
    SendPiece();
    return;
  }
  timer_ = loop_.After(options_.pieceDelay_, [this]() { SendPiece(); });
}

void BodySender::SendPiece()
{
  const std::uint64_t size = options_.range_.last_ - options_.range_.first_ + 1;
  const std::uint64_t end = std::min(size, options_.closeAfterBytes_.value_or(size));
  const std::uint64_t length = std::min(kPieceBytes, end - std::min(sentBytes_, end));
  if (length == 0) {
    Finish();
    return;
  }
  const std::string piece = content_.Read(options_.range_.first_ + sentBytes_, length);
  sentBytes_ += length;
  responder_->SendPiece(piece, [this]() { ScheduleNextPiece(); });
}

void BodySender::Finish()
{
  const std::uint64_t size = options_.range_.last_ - options_.range_.first_ + 1;
  if (sentBytes_ < size) {
    responder_->Abort();
  } else {
    responder_->EndBody();
  }
  // The owner destroys this object in the callback.
  const std::function<void()> onDone = std::move(onDone_);
  onDone();
}

} // namespace dandelionstand::standins
