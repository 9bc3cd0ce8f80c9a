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
                       BodyPlan aPlan,
                       std::function<void()> aOnDone)
  : loop_(aLoop)
  , responder_(std::move(aResponder))
  , content_(std::move(aContent))
  , plan_(std::move(aPlan))
  , onDone_(std::move(aOnDone))
{
}

void BodySender::Start()
{
  responder_->StartBody(
    plan_.status_, plan_.headers_, plan_.range_.last_ - plan_.range_.first_ + 1);
  SendNext();
}

void BodySender::SendNext()
{
  if (plan_.pieceDelay_.count() == 0) {
    SendPiece();
    return;
  }
  timer_ = loop_.After(plan_.pieceDelay_, [this]() { SendPiece(); });
}

void BodySender::SendPiece()
{
  const std::uint64_t size = plan_.range_.last_ - plan_.range_.first_ + 1;
  const std::uint64_t end = std::min(size, plan_.breakAfter_.value_or(size));
  const std::uint64_t length = std::min(kPieceBytes, end - std::min(sent_, end));
  if (length == 0) {
    Finish();
    return;
  }
  const std::string piece = content_.Read(plan_.range_.first_ + sent_, length);
  sent_ += length;
  responder_->SendPiece(piece, [this]() { SendNext(); });
}

void BodySender::Finish()
{
  const std::uint64_t size = plan_.range_.last_ - plan_.range_.first_ + 1;
  if (sent_ < size) {
    responder_->Drop();
  } else {
    responder_->EndBody();
  }
  // The owner destroys this object in the callback.
  const std::function<void()> onDone = std::move(onDone_);
  onDone();
}

} // namespace dandelionstand::standins
