#ifndef dandelionstand_standins_target_BodySender_h
#define dandelionstand_standins_target_BodySender_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
#include "standins/target/Content.h"

#include <functional>
#include <memory>
#include <optional>

namespace dandelionstand::standins {

//! How a content is sent as the answer to a request.
struct ResponseOptions
{
  int status_ = 0;
  HeaderMap headers_;
  ByteRange range_;                              //!< The part of the content that is sent.
  std::optional<std::uint64_t> closeAfterBytes_; //!< Body bytes to send before closing.
  common::Duration pieceDelay_{};                //!< Before each piece.
};

//! Streams a content to one client, with one piece in memory at a time.
class BodySender
{
public:
  //! Calls aOnDone once when the body is sent or broken off, but not if the client closes the
  //! connection.
  BodySender(common::EventLoop& aLoop,
             std::shared_ptr<Responder> aResponder,
             Content aContent,
             ResponseOptions aOptions,
             std::function<void()> aOnDone);

  void Start();

private:
  void ScheduleNextPiece();
  void SendPiece();
  void Finish();

  common::EventLoop& loop_;
  std::shared_ptr<Responder> responder_;
  Content content_;
  ResponseOptions options_;
  std::function<void()> onDone_;
  std::uint64_t sentBytes_ = 0;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_BodySender_h
