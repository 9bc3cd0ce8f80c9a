#ifndef dandelionstand_caller_CallerExchange_h
#define dandelionstand_caller_CallerExchange_h

#include "dandelionstand/caller/AnswerSink.h"
#include "dandelionstand/caller/CallerConnection.h"
#include "dandelionstand/caller/CallerServer.h"
#include "dandelionstand/common/EventLog.h"

#include <optional>
#include <string>
#include <utility>

namespace dandelionstand::caller {

//! A caller's request from its arrival until its answer is sent or the caller disconnects.
class CallerServer::Exchange : public AnswerSink
{
public:
  Exchange(CallerServer& aServer, http::ServerExchange& aExchange)
    : server_(aServer)
    , connection_(aExchange, aServer.dialect_, [this](bool aIsSent) {
      server_.EndExchange(*this, aIsSent);
    })
  {
  }

  CallerConnection& Connection() { return connection_; }
  void SetOrigin(const CallerRequest& aRequest)
  {
    id_ = aRequest.id_;
    clientHost_ = aRequest.clientHost_;
  }
  void SetCallId(common::RequestId aCallId) { callId_ = aCallId; }
  //! The request has spent a token of the organisation.
  void SetQuotaToken(common::OrganisationName aOrganisation, common::TimePoint aExpiresAt)
  {
    quotaOrganisation_ = std::move(aOrganisation);
    tokenExpiresAt_ = aExpiresAt;
  }

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders) override;
  void SendBody(const std::string& aData) override;
  void Finish() override;
  void Refuse(const Refusal& aRefusal) override;
  void Abort(const std::string& aReason) override;
  void OnDisconnect()
  {
    SetResult({ kGone, common::Severity::kInfo, "caller_gone", "", RunState::kUnknown });
  }

  //! The answer was sent completely, or the connection was closed before.
  void OnEnded(bool aIsSent);
  //! Resets the connection if the caller has not received the answer in time.
  void AbortIfOverdue(common::TimePoint aNow);

private:
  //! The result of a request, for counters and logs.
  struct Result
  {
    std::string outcome_;
    common::Severity severity_ = common::Severity::kInfo;
    const char* event_ = nullptr; //!< Null while there is no result.
    std::string reason_;
    RunState runState_ = RunState::kUnknown;
  };
  //! What the log says of the call, which ends before the answer is sent.
  struct CallSummary
  {
    const char* kind_ = "none";
    std::uint64_t version_ = 0;
    std::string route_;
    std::string service_;
    std::string organisation_;
    std::string endpoint_;
    common::Duration callerAge_{ 0 };
    common::Duration targetTime_{ 0 };
    std::uint32_t attempts_ = 0;
  };

  void SetResult(Result aResult);
  void Observe() const;
  void Log() const;

  static constexpr const char* kAnswered = "answered";
  static constexpr const char* kBrokenOff = "broken-off";
  static constexpr const char* kBrokenOffEvent = "request_broken_off";
  static constexpr const char* kGone = "gone";

  CallerServer& server_;
  CallerConnection connection_;
  std::string id_;
  std::string clientHost_;                     //!< IP address.
  common::RequestId callId_;                   //!< 0 for a request without a call.
  common::OrganisationName quotaOrganisation_; //!< Empty if no token was spent.
  common::TimePoint tokenExpiresAt_;
  std::uint32_t status_ = 0;
  Result result_;
  CallSummary call_;
  common::TimePoint receivedAt_ = common::Now();
  //! For the caller to receive the finished answer, from when those before it are sent.
  std::optional<common::Duration> sendTimeout_;
  common::TimePoint sendDeadline_ = common::TimePoint::max();
  bool isOverdue_ = false; //!< The caller has not received the answer by sendDeadline_.
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerExchange_h
