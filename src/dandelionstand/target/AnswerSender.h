#ifndef dandelionstand_target_AnswerSender_h
#define dandelionstand_target_AnswerSender_h

#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AttemptKey.h"

#include <functional>
#include <string_view>

namespace dandelionstand::peer::wire {
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::target {

//! Sends the answers of attempts to the daemons of their callers, with the target's current load.
class AnswerSender
{
public:
  //! Returns the current load, with the service time of requests of the route.
  using LoadSource = std::function<peer::wire::Load(const std::string& aRoute)>;

  AnswerSender(peer::Transport& aTransport, LoadSource aLoadSource);

  //! Each returns false if the link did not accept the message. The answer is then incomplete, and
  //! sending the rest of it is useless.
  bool SendHead(const peer::PeerRef& aRecipient,
                const AttemptKey& aKey,
                peer::wire::AnswerHead aHead);
  bool SendBody(const peer::PeerRef& aRecipient,
                const AttemptKey& aKey,
                peer::wire::AnswerBody aBody);
  bool SendEnd(const peer::PeerRef& aRecipient,
               const AttemptKey& aKey,
               const std::string& aRoute,
               peer::wire::AnswerEnd aEnd);
  bool SendFailed(const peer::PeerRef& aRecipient,
                  const AttemptKey& aKey,
                  const std::string& aRoute,
                  std::string_view aReason,
                  peer::wire::RunState aRunState,
                  bool aDeep = false);

private:
  peer::Transport& transport_;
  LoadSource loadSource_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_AnswerSender_h
