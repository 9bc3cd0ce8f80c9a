#include "dandelionstand/caller/CallTypes.h"

#include "dandelionstand/common/HttpHeaders.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! Formats an action as one line.
struct ActionText
{
  std::string operator()(const SendAttempt& aAction) const
  {
    const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(aAction.remainingTime_).count();
    std::string text = "send attempt=" + std::to_string(aAction.attempt_) +
                       " to=" + aAction.endpoint_.instance_.Get() +
                       " time_left_ms=" + std::to_string(milliseconds);
    if (aAction.continuation_) {
      text += " from_byte=" + std::to_string(aAction.continuation_->offset_);
    }
    return text;
  }
  std::string operator()(const CancelAttempt& aAction) const
  {
    return "cancel attempt=" + std::to_string(aAction.attempt_) +
           " at=" + aAction.endpoint_.instance_.Get();
  }
  std::string operator()(const GrantCredit& aAction) const
  {
    return "credit attempt=" + std::to_string(aAction.attempt_) +
           " bytes=" + std::to_string(aAction.bytes_);
  }
  std::string operator()(const SendHead& aAction) const
  {
    return "head status=" + std::to_string(aAction.status_);
  }
  std::string operator()(const SendBody& aAction) const
  {
    return "body bytes=" + std::to_string(aAction.data_.size());
  }
  std::string operator()(const FinishAnswer&) const { return "finish"; }
  std::string operator()(const RefuseCall& aAction) const
  {
    return "refuse status=" + std::to_string(aAction.status_) + " reason=" + aAction.reason_ +
           " run=" + std::string(ToText(aAction.runState_)) + (aAction.deep_ ? " deep" : "");
  }
  std::string operator()(const AbortAnswer& aAction) const
  {
    return "abort reason=" + aAction.reason_;
  }
};

} // namespace

std::string ToText(const CallActions& aActions)
{
  std::string text;
  for (const CallAction& action : aActions) {
    text += std::visit(ActionText{}, action) + "\n";
  }
  return text;
}

} // namespace dandelionstand::caller
