#ifndef dandelionstand_standins_log_LogServer_h
#define dandelionstand_standins_log_LogServer_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
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
  kSilent, //!< No request gets an answer.
  kReset,  //!< Every connection ends without an answer.
};

//! What a test makes the log service do; set through POST /control.
struct LogBehaviour
{
  LogOutage outage_ = LogOutage::kNone;
  common::Duration delay_{};             //!< Before each answer.
  std::uint64_t answersToLose_ = 0;      //!< So many more appends take effect without an answer.
  std::string loseAnswersStream_;        //!< Only in this stream; empty stands for any.
  common::Duration lateBy_{};            //!< Appends whose answer is lost take effect after this.
  std::uint64_t appendsPerSecond_ = 400; //!< 0 stands for no limit.
  std::uint64_t readsPerSecond_ = 2000;  //!< 0 stands for no limit.
  std::uint64_t maxRecordBytes_ = 16'777'216;
  std::uint64_t maxReadBytes_ = 4'194'304;
  Retention retention_;
};

//! The platform's store over HTTP, as far as the product uses it: `/dandelionstand/log-append`,
//! `log-read`, `log-newest` and `log-trim`, with `/control` and `/counts` for tests. Offsets on the
//! wire count from 0; a topic has partition 0 only.
class LogServer
{
public:
  LogServer(common::EventLoop& aLoop, const common::Address& aListen);
  ~LogServer();

  const common::Address& ListeningAddress() const { return server_.ListeningAddress(); }
  void SetBehaviour(const LogBehaviour& aBehaviour);
  const LogBehaviour& GetBehaviour() const { return behaviour_; }
  //! Drops the history; the newest records of keyed streams stay.
  void TrimAll() { store_.TrimAll(); }

private:
  struct Usage
  {
    std::uint64_t appends_ = 0;
    std::uint64_t appendBytes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t readBytes_ = 0;
    std::uint64_t refused_ = 0;
  };
  struct Waiter
  {
    ServerRequest request_;
    std::string stream_;
    std::unique_ptr<common::Watch> timer_;
  };
  using Waiters = std::list<Waiter>;

  void OnRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void OnCounts(const ServerRequest& aRequest);
  //! Tokens of one rate limit.
  struct Bucket
  {
    double tokens_ = 0;
    common::TimePoint filledAt_;
  };
  //! The appends of one producer that are remembered, so that a repeat gets its first answer.
  struct Producer
  {
    std::uint64_t epoch_ = 0;
    std::uint64_t nextSequence_ = 0;
    bool isNumbered_ = false; //!< Whether an append of this epoch set nextSequence_.
    std::map<std::uint64_t, std::string> answers_; //!< By sequence.
  };

  void OnCall(const ServerRequest& aRequest, const std::string& aCall);
  void Append(const ServerRequest& aRequest, const std::string& aStream);
  bool IsAdmitted(const ServerRequest& aRequest, const std::string& aStream);
  void AppendRecords(const ServerRequest& aRequest,
                     const std::string& aStream,
                     const std::vector<std::string>& aRecords);
  void Read(const ServerRequest& aRequest, const std::string& aStream);
  void AnswerRead(const ServerRequest& aRequest, const std::string& aStream);
  void ReadNewest(const ServerRequest& aRequest, const std::string& aStream);
  void StartWaiting(const ServerRequest& aRequest, const std::string& aStream);
  void EndWaiting(Waiters::iterator aWaiter);
  void WakeWaiters(const std::string& aStream);
  void AnswerLater(std::shared_ptr<Responder> aResponder, int aStatus, std::string aBody);
  static bool TakeToken(Bucket& aBucket, std::uint64_t aRate);
  bool LosesAnswer(const std::string& aStream);
  Usage& UsageOf(const ServerRequest& aRequest, const std::string& aStream);

  common::EventLoop& loop_;
  LogBehaviour behaviour_;
  LogStore store_;
  std::map<std::pair<std::string, std::string>, Usage> usage_; //!< By client IP and stream.
  Waiters waiters_;
  std::list<std::shared_ptr<Responder>> unanswered_; //!< Held open during a silent outage.
  std::map<std::pair<std::string, std::string>, Producer> producers_; //!< By stream and name.
  std::list<std::unique_ptr<common::Watch>> late_; //!< Appends that take effect later.
  Bucket appends_;
  Bucket reads_;
  std::unique_ptr<common::Watch> expiry_;
  HttpServer server_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_log_LogServer_h
