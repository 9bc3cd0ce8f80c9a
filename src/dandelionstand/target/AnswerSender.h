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

//! Sends the answers of attempts back to their callers' daemons, with the present load.
class AnswerSender
{
public:
  //! The load, with the time that requests of the route take.
  using LoadSource = std::function<peer::wire::Load(const std::string& aRoute)>;

  AnswerSender(peer::Transport& aTransport, LoadSource aLoadSource);

  //! Each returns false if the link took no message; the rest of the answer is then useless.
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
