#ifndef dandelionstand_standins_target_BodySender_h
#define dandelionstand_standins_target_BodySender_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
#include "standins/target/Content.h"

#include <functional>
#include <memory>
#include <optional>

namespace dandelionstand::standins {

//! What is sent of a content, and how.
struct BodyPlan
{
  int status_ = 0;
  HeaderMap headers_;
  ByteRange range_;
  std::optional<std::uint64_t> breakAfter_; //!< Closes the connection after so many bytes.
  common::Duration pieceDelay_{};
};

//! Streams a content to one client, one piece in memory at a time.
class BodySender
{
public:
  //! aOnDone is called once, when the body is sent or broken off; not if the client goes away.
  BodySender(common::EventLoop& aLoop,
             std::shared_ptr<Responder> aResponder,
             Content aContent,
             BodyPlan aPlan,
             std::function<void()> aOnDone);

  void Start();

private:
  void SendNext();
  void SendPiece();
  void Finish();

  common::EventLoop& loop_;
  std::shared_ptr<Responder> responder_;
  Content content_;
  BodyPlan plan_;
  std::function<void()> onDone_;
  std::uint64_t sent_ = 0;
  std::unique_ptr<common::Watch> timer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_BodySender_h
