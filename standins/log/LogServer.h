#ifndef dandelionstand_standins_log_LogServer_h
#define dandelionstand_standins_log_LogServer_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
#include "standins/log/GroupStore.h"
#include "standins/log/LogStore.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dandelionstand::standins {

enum class LogOutage
{
  kNone,
  kRefuse, //!< Every request gets 503.
  kSilent, //!< Connections stay open, but no request gets an answer.
  kReset,  //!< Every request's connection is closed without an answer.
};

//! Faults and limits of the log service, set by POST /control.
struct LogBehaviour
{
  LogOutage outage_ = LogOutage::kNone;
  common::Duration delay_{};             //!< Before each answer.
  std::uint64_t answersToLose_ = 0;      //!< Number of further appends that get no answer.
  std::string answersToLoseStream_;      //!< Stream that answersToLose_ applies to; empty for all.
  common::Duration appendDelay_{};       //!< Delay until an append with a lost answer is stored.
  std::uint64_t appendsPerSecond_ = 400; //!< 0 means no limit.
  std::uint64_t readsPerSecond_ = 2000;  //!< 0 means no limit.
  std::uint64_t maxRecordBytes_ = 16'777'216;
  std::uint64_t maxReadBytes_ = 4'194'304;
  Retention retention_;
};

//! The part of the platform's log service that dandelionstand uses, over HTTP:
//! `/dandelionstand/log-append`, `log-read`, `log-newest`, `log-trim`, `log-join` and `log-owners`.
//! Tests use `/control`,
//! `/counts` and `/forget`. Offsets on the wire start at 0; each topic has only partition 0.
class LogServer
{
public:
  LogServer(common::EventLoop& aLoop, const common::Address& aListen);
  ~LogServer();

  const common::Address& ListeningAddress() const { return server_.ListeningAddress(); }
  void SetBehaviour(const LogBehaviour& aBehaviour);
  const LogBehaviour& GetBehaviour() const { return behaviour_; }
  //! Drops the records of all streams, but not the newest records of keyed streams.
  void TrimAll() { store_.TrimAll(); }

private:
  //! Counts that `/counts` reports.
  struct Usage
  {
    std::uint64_t appends_ = 0;
    std::uint64_t appendBytes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t readBytes_ = 0;
    std::uint64_t refused_ = 0;
  };
  //! A read that waits until its stream has a record at the requested offset.
  struct LongPoll
  {
    ServerRequest request_;
    std::string stream_;
    std::unique_ptr<common::Watch> timer_;
  };
  using LongPolls = std::list<LongPoll>;

  void OnRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void SendCounts(const ServerRequest& aRequest);
  //! Token bucket of one rate limit.
  struct TokenBucket
  {
    double tokens_ = 0;
    common::TimePoint refilledAt_;
  };
  //! State of one producer. The answers to its last appends are retained, so that a repeated append
  //! gets its original answer and is not appended twice.
  struct Producer
  {
    std::uint64_t epoch_ = 0;
    std::uint64_t nextSequence_ = 0;
    bool hasNextSequence_ = false;                 //!< Set by the first append of an epoch.
    std::map<std::uint64_t, std::string> answers_; //!< By sequence number.
  };

  void OnCall(const ServerRequest& aRequest, const std::string& aCall);
  void Append(const ServerRequest& aRequest, const std::string& aStream);
  //! Checks the expected offset and the producer's epoch and sequence number. If the append must
  //! not be stored, answers it and returns false.
  bool AdmitAppend(const ServerRequest& aRequest, const std::string& aStream);
  void AppendRecords(const ServerRequest& aRequest,
                     const std::string& aStream,
                     const std::vector<std::string>& aRecords);
  void Read(const ServerRequest& aRequest, const std::string& aStream);
  void AnswerRead(const ServerRequest& aRequest, const std::string& aStream);
  void ReadNewest(const ServerRequest& aRequest, const std::string& aStream);
  void JoinGroup(const ServerRequest& aRequest);
  void ReadOwners(const ServerRequest& aRequest);
  void StartLongPoll(const ServerRequest& aRequest, const std::string& aStream);
  //! Answers a long poll with the records that are there, if any.
  void EndLongPoll(LongPolls::iterator aLongPoll);
  //! Ends the long polls of a stream for which there are records now.
  void AnswerLongPolls(const std::string& aStream);
  //! Sends an answer after the delay that the behaviour sets.
  void SendAfterDelay(std::shared_ptr<Responder> aResponder, int aStatus, std::string aBody);
  //! False if the rate is exceeded; a rate of 0 means no limit.
  static bool ConsumeToken(TokenBucket& aBucket, std::uint64_t aRate);
  //! Whether to lose the answer to an append; if so, decrements answersToLose_.
  bool ConsumeAnswerLoss(const std::string& aStream);
  Usage& UsageOf(const ServerRequest& aRequest, const std::string& aStream);

  common::EventLoop& loop_;
  LogBehaviour behaviour_;
  LogStore store_;
  GroupStore groups_;
  std::map<std::pair<std::string, std::string>, Usage> usage_; //!< By client IP and stream.
  LongPolls longPolls_;
  //! Requests during a silent outage; held so that their connections stay open.
  std::list<std::shared_ptr<Responder>> unansweredResponders_;
  std::map<std::pair<std::string, std::string>, Producer> producers_; //!< By stream and name.
  std::list<std::unique_ptr<common::Watch>> delayedAppends_;          //!< Timers of appendDelay_.
  TokenBucket appendTokens_;
  TokenBucket readTokens_;
  std::unique_ptr<common::Watch> expiryTimer_;
  HttpServer server_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_log_LogServer_h
