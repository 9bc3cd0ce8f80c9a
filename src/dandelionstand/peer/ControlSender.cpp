#include "dandelionstand/peer/ControlSender.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

namespace dandelionstand::peer {

namespace {

const char* const kUnknownBorder = "unknown";

const char* ToText(ControlKind aKind)
{
  switch (aKind) {
    case ControlKind::kMembership:
      return "membership";
    case ControlKind::kSpreading:
      return "spreading";
    case ControlKind::kConvergence:
      return "convergence";
  }
  return "unknown";
}

const char* BorderBetween(const Member& aLhs, const Member& aRhs)
{
  if (aLhs.failureDomain_ == aRhs.failureDomain_) {
    return "same_domain";
  }
  return aLhs.region_ == aRhs.region_ ? "same_region" : "other_region";
}

} // namespace

ControlSender::ControlSender(common::Counters& aCounters,
                             Transport& aTransport,
                             const Member& aSelf)
  : counters_(aCounters)
  , transport_(aTransport)
  , self_(aSelf)
{
}

void ControlSender::SetMembers(const Members& aMembers)
{
  borders_.clear();
  for (const Member& member : aMembers) {
    borders_[member.address_] = BorderBetween(self_, member);
  }
}

void ControlSender::Send(const common::Address& aTo, ControlKind aKind, wire::Envelope& aEnvelope)
{
  if (aTo == replyAddress_) {
    transport_.Send(replyPath_, aEnvelope);
  } else {
    transport_.Send({ aTo, "" }, aEnvelope);
  }
  Count("sent", aKind, aTo, aEnvelope.ByteSizeLong());
}

void ControlSender::OnReceived(const common::Address& aSender,
                               const PeerRef& aReplyPath,
                               ControlKind aKind,
                               const wire::Envelope& aEnvelope)
{
  replyAddress_ = aSender;
  replyPath_ = aReplyPath;
  Count("received", aKind, aSender, aEnvelope.ByteSizeLong());
}

const char* ControlSender::BorderTo(const common::Address& aPeer) const
{
  const auto border = borders_.find(aPeer);
  return border == borders_.end() ? kUnknownBorder : border->second;
}

void ControlSender::Count(const char* aDirection,
                          ControlKind aKind,
                          const common::Address& aPeer,
                          std::size_t aBytes)
{
  const std::string labels =
    std::string("{kind=\"") + ToText(aKind) + "\",border=\"" + BorderTo(aPeer) + "\"}";
  counters_.Add(std::string("control_bytes_") + aDirection + "_total" + labels, aBytes);
  counters_.Add(std::string("control_messages_") + aDirection + "_total" + labels);
}

} // namespace dandelionstand::peer
