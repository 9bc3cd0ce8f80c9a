#include "standins/log/LogServer.h"

#include "dandelionstand/platform/Base64.h"
#include "dandelionstand/platform/RecordFrames.h"
#include "standins/ControlReader.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string_view>

namespace dandelionstand::standins {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

//! The rate limits allow bursts of as many calls as fit into this time.
constexpr double kBurstSeconds = 0.25;
constexpr std::chrono::milliseconds kExpiryInterval(100);
constexpr std::chrono::milliseconds kMaxReadWait(30'000);
//! Answers retained per producer, for repeated appends.
constexpr std::size_t kMaxRetainedAnswers = 5;
constexpr std::size_t kMaxPageItems = 500;

const std::string kCallPrefix = "/dandelionstand/log-";
//! Marks requests of the operator and the servers. Only they may append to keyed.op and
//! keyed.servers.
const std::string kOperatorHeader = "x-operator";

//! Offsets on the wire start at 0, common::Offset starts at 1.
std::uint64_t ToWireOffset(common::Offset aOffset)
{
  return aOffset.Get() - 1;
}

common::Offset FromWireOffset(std::uint64_t aOffset)
{
  return common::Offset(aOffset + 1);
}

//! Returns "" if the topic is missing or the partition is not 0.
std::string StreamOf(const ServerRequest& aRequest)
{
  const auto topic = aRequest.query_.find("topic");
  return topic == aRequest.query_.end() || aRequest.QueryNumber("part", 0) != 0 ? ""
                                                                                : topic->second;
}

//! Splits the body of an append into its records; false if the last frame is truncated.
bool SplitFrames(std::string_view aBytes, std::vector<std::string>& aRecords)
{
  constexpr std::size_t kLengthBytes = 4;
  constexpr unsigned kBitsPerByte = 8;
  while (!aBytes.empty()) {
    if (aBytes.size() < kLengthBytes) {
      return false;
    }
    std::size_t length = 0;
    for (const char byte : aBytes.substr(0, kLengthBytes)) {
      length = (length << kBitsPerByte) | static_cast<unsigned char>(byte);
    }
    aBytes.remove_prefix(kLengthBytes);
    if (aBytes.size() < length) {
      return false;
    }
    aRecords.emplace_back(aBytes.substr(0, length));
    aBytes.remove_prefix(length);
  }
  return true;
}

LogOutage ParseOutage(const std::string& aText)
{
  if (aText == "none") {
    return LogOutage::kNone;
  }
  if (aText == "refuse") {
    return LogOutage::kRefuse;
  }
  if (aText == "silent") {
    return LogOutage::kSilent;
  }
  if (aText == "reset") {
    return LogOutage::kReset;
  }
  throw std::invalid_argument("outage must be none, refuse, silent or reset");
}

LogBehaviour ReadBehaviour(const std::string& aText, LogBehaviour aBehaviour)
{
  ControlReader reader(aText);
  std::string outage;
  reader.Read("outage", outage);
  if (!outage.empty()) {
    aBehaviour.outage_ = ParseOutage(outage);
  }
  reader.Read("delay_ms", aBehaviour.delay_);
  reader.Read("lose_answers", aBehaviour.answersToLose_);
  reader.Read("lose_answers_stream", aBehaviour.answersToLoseStream_);
  reader.Read("late_ms", aBehaviour.appendDelay_);
  reader.Read("appends_per_second", aBehaviour.appendsPerSecond_);
  reader.Read("reads_per_second", aBehaviour.readsPerSecond_);
  reader.Read("max_record_bytes", aBehaviour.maxRecordBytes_);
  reader.Read("max_read_bytes", aBehaviour.maxReadBytes_);
  reader.Read("retain_records", aBehaviour.retention_.records_);
  reader.Read("retain_ms", aBehaviour.retention_.age_);
  reader.RejectUnknownKeys();
  return aBehaviour;
}

} // namespace

LogServer::LogServer(common::EventLoop& aLoop, const common::Address& aListen)
  : loop_(aLoop)
  , expiryTimer_(aLoop.Every(kExpiryInterval, [this]() { store_.Expire(common::Now()); }))
  , server_(aLoop, aListen, [this](const ServerRequest& aRequest) { OnRequest(aRequest); })
{
}

LogServer::~LogServer() = default;

void LogServer::SetBehaviour(const LogBehaviour& aBehaviour)
{
  const bool wasInOutage = behaviour_.outage_ != LogOutage::kNone;
  behaviour_ = aBehaviour;
  store_.SetRetention(behaviour_.retention_);
  if (behaviour_.outage_ == LogOutage::kRefuse || wasInOutage) {
    // Closes the connections of long polls, as a restart of the service does.
    longPolls_.clear();
    unansweredResponders_.clear();
  }
}

void LogServer::OnRequest(const ServerRequest& aRequest)
{
  if (aRequest.path_ == "/control" && aRequest.method_ == "POST") {
    OnControl(aRequest);
    return;
  }
  if (aRequest.path_ == "/counts") {
    SendCounts(aRequest);
    return;
  }
  if (aRequest.path_ == "/forget") {
    store_.TrimAll();
    SendJson(*aRequest.responder_, nlohmann::json::object());
    return;
  }
  if (!aRequest.path_.starts_with(kCallPrefix)) {
    SendText(*aRequest.responder_, kNotFound, "no such call");
    return;
  }
  OnCall(aRequest, aRequest.path_.substr(kCallPrefix.size()));
}

void LogServer::OnControl(const ServerRequest& aRequest)
{
  try {
    SetBehaviour(ReadBehaviour(aRequest.body_, behaviour_));
    SendJson(*aRequest.responder_, nlohmann::json::object());
  } catch (const std::invalid_argument& error) {
    SendText(*aRequest.responder_, kBadRequest, error.what());
  }
}

void LogServer::SendCounts(const ServerRequest& aRequest)
{
  nlohmann::json counts = nlohmann::json::array();
  for (const auto& [key, usage] : usage_) {
    counts.push_back({ { "client", key.first },
                       { "stream", key.second },
                       { "appends", usage.appends_ },
                       { "append_bytes", usage.appendBytes_ },
                       { "reads", usage.reads_ },
                       { "read_bytes", usage.readBytes_ },
                       { "refused", usage.refused_ } });
  }
  SendJson(*aRequest.responder_, counts);
}

void LogServer::OnCall(const ServerRequest& aRequest, const std::string& aCall)
{
  const std::string stream = StreamOf(aRequest);
  if (behaviour_.outage_ == LogOutage::kSilent) {
    unansweredResponders_.push_back(aRequest.responder_);
  } else if (behaviour_.outage_ == LogOutage::kReset) {
    aRequest.responder_->Abort();
  } else if (behaviour_.outage_ == LogOutage::kRefuse) {
    ++UsageOf(aRequest, stream).refused_;
    SendAfterDelay(aRequest.responder_, kUnavailable, "outage\n");
  } else if (aCall == "join") {
    JoinGroup(aRequest);
  } else if (aCall == "owners") {
    ReadOwners(aRequest);
  } else if (stream.empty()) {
    SendText(*aRequest.responder_, kNotFound, "no such topic or partition");
  } else if (aCall == "append") {
    Append(aRequest, stream);
  } else if (aCall == "trim") {
    store_.Trim(stream, FromWireOffset(aRequest.QueryNumber("before", 0)));
    SendAfterDelay(aRequest.responder_, kOk, "{}");
  } else if (aCall == "read" || aCall == "newest") {
    if (!ConsumeToken(readTokens_, behaviour_.readsPerSecond_)) {
      ++UsageOf(aRequest, stream).refused_;
      SendAfterDelay(aRequest.responder_, kTooManyRequests, "rate limit\n");
    } else if (aCall == "read") {
      Read(aRequest, stream);
    } else {
      ReadNewest(aRequest, stream);
    }
  } else {
    SendText(*aRequest.responder_, kNotFound, "no such call");
  }
}

void LogServer::Append(const ServerRequest& aRequest, const std::string& aStream)
{
  Usage& usage = UsageOf(aRequest, aStream);
  std::vector<std::string> records;
  const bool isComplete = SplitFrames(aRequest.body_, records);
  const bool isTooLarge =
    std::any_of(records.begin(), records.end(), [this](const std::string& aRecord) {
      return aRecord.size() > behaviour_.maxRecordBytes_;
    });
  if (!isComplete || isTooLarge) {
    ++usage.refused_;
    SendAfterDelay(aRequest.responder_,
                   isComplete ? kTooLarge : kBadRequest,
                   isComplete ? "record too large\n" : "last frame is cut short\n");
    return;
  }
  const bool isOperatorStream = aStream == "keyed.op" || aStream == "keyed.servers";
  if (isOperatorStream && aRequest.Header(kOperatorHeader).empty()) {
    ++usage.refused_;
    SendAfterDelay(
      aRequest.responder_, kForbidden, "stream is reserved for the operator and the servers\n");
    return;
  }
  if (!ConsumeToken(appendTokens_, behaviour_.appendsPerSecond_)) {
    ++usage.refused_;
    SendAfterDelay(aRequest.responder_, kTooManyRequests, "rate limit\n");
    return;
  }
  if (AdmitAppend(aRequest, aStream)) {
    AppendRecords(aRequest, aStream, records);
  }
}

bool LogServer::AdmitAppend(const ServerRequest& aRequest, const std::string& aStream)
{
  const std::uint64_t end = ToWireOffset(store_.NextOffset(aStream));
  if (aRequest.query_.contains("at") && aRequest.QueryNumber("at", 0) != end) {
    SendAfterDelay(
      aRequest.responder_, kPreconditionFailed, nlohmann::json{ { "end-offset", end } }.dump());
    return false;
  }
  const auto name = aRequest.query_.find("producer");
  if (name == aRequest.query_.end()) {
    return true;
  }
  Producer& producer = producers_[{ aStream, name->second }];
  const std::uint64_t epoch = aRequest.QueryNumber("epoch", 0);
  const std::uint64_t sequence = aRequest.QueryNumber("sequence", 0);
  if (epoch < producer.epoch_) {
    SendAfterDelay(aRequest.responder_, kConflict, nlohmann::json{ { "why", "fenced" } }.dump());
    return false;
  }
  if (epoch > producer.epoch_) {
    producer = Producer{ epoch, 0, false, {} };
  }
  if (const auto answer = producer.answers_.find(sequence); answer != producer.answers_.end()) {
    SendAfterDelay(aRequest.responder_, kOk, answer->second);
    return false;
  }
  if (producer.hasNextSequence_ && sequence != producer.nextSequence_) {
    SendAfterDelay(
      aRequest.responder_,
      kConflict,
      nlohmann::json{ { "why", "seq" }, { "sequence", producer.nextSequence_ } }.dump());
    return false;
  }
  return true;
}

void LogServer::AppendRecords(const ServerRequest& aRequest,
                              const std::string& aStream,
                              const std::vector<std::string>& aRecords)
{
  const bool isAnswerLost = ConsumeAnswerLoss(aStream);
  if (isAnswerLost && behaviour_.appendDelay_.count() > 0) {
    aRequest.responder_->Abort();
    delayedAppends_.push_back(loop_.After(behaviour_.appendDelay_, [this, aStream, aRecords] {
      for (const std::string& record : aRecords) {
        store_.Append(aStream, record, common::Now());
      }
      AnswerLongPolls(aStream);
    }));
    return;
  }
  Usage& usage = UsageOf(aRequest, aStream);
  ++usage.appends_;
  const std::uint64_t offset = ToWireOffset(store_.NextOffset(aStream));
  for (const std::string& record : aRecords) {
    usage.appendBytes_ += record.size();
    store_.Append(aStream, record, common::Now());
  }
  const std::string answer = nlohmann::json{
    { "offset", offset }, { "end-offset", ToWireOffset(store_.NextOffset(aStream)) }
  }.dump();
  if (const auto name = aRequest.query_.find("producer");
      name != aRequest.query_.end() && !aRecords.empty()) {
    Producer& producer = producers_[{ aStream, name->second }];
    const std::uint64_t sequence = aRequest.QueryNumber("sequence", 0);
    producer.hasNextSequence_ = true;
    producer.nextSequence_ = sequence + 1;
    producer.answers_[sequence] = answer;
    if (producer.answers_.size() > kMaxRetainedAnswers) {
      producer.answers_.erase(producer.answers_.begin());
    }
  }
  if (isAnswerLost) {
    aRequest.responder_->Abort();
  } else {
    SendAfterDelay(aRequest.responder_, kOk, answer);
  }
  AnswerLongPolls(aStream);
}

bool LogServer::ConsumeToken(TokenBucket& aBucket, std::uint64_t aRate)
{
  const auto rate = static_cast<double>(aRate);
  if (rate == 0) {
    return true;
  }
  const common::TimePoint now = common::Now();
  const double seconds = std::chrono::duration<double>(now - aBucket.refilledAt_).count();
  aBucket.refilledAt_ = now;
  aBucket.tokens_ = std::min(aBucket.tokens_ + seconds * rate, std::max(1.0, rate * kBurstSeconds));
  if (aBucket.tokens_ < 1) {
    return false;
  }
  aBucket.tokens_ -= 1;
  return true;
}

bool LogServer::ConsumeAnswerLoss(const std::string& aStream)
{
  const std::string& onlyStream = behaviour_.answersToLoseStream_;
  if (behaviour_.answersToLose_ == 0 || (!onlyStream.empty() && onlyStream != aStream)) {
    return false;
  }
  --behaviour_.answersToLose_;
  return true;
}

void LogServer::Read(const ServerRequest& aRequest, const std::string& aStream)
{
  const common::Offset from = FromWireOffset(aRequest.QueryNumber("from", 0));
  if (from >= store_.NextOffset(aStream) && aRequest.QueryNumber("wait-ms", 0) > 0) {
    StartLongPoll(aRequest, aStream);
  } else {
    AnswerRead(aRequest, aStream);
  }
}

void LogServer::AnswerRead(const ServerRequest& aRequest, const std::string& aStream)
{
  const common::Offset from = FromWireOffset(aRequest.QueryNumber("from", 0));
  const std::uint64_t first = ToWireOffset(store_.FirstOffset(aStream));
  const std::uint64_t end = ToWireOffset(store_.NextOffset(aStream));
  Usage& usage = UsageOf(aRequest, aStream);
  ++usage.reads_;
  if (from < store_.FirstOffset(aStream)) {
    SendAfterDelay(aRequest.responder_,
                   kGone,
                   nlohmann::json{ { "first-offset", first }, { "end-offset", end } }.dump());
    return;
  }
  const std::string frames = store_.ReadFrames(aStream, from, behaviour_.maxReadBytes_);
  usage.readBytes_ += frames.size();
  std::string answer;
  platform::AppendReadHeader(end, first, answer);
  SendAfterDelay(aRequest.responder_, kOk, answer + frames);
}

void LogServer::ReadNewest(const ServerRequest& aRequest, const std::string& aStream)
{
  Usage& usage = UsageOf(aRequest, aStream);
  ++usage.reads_;
  const auto after = aRequest.query_.find("after");
  const auto& newest = store_.NewestRecords(aStream);
  auto entry = after == aRequest.query_.end() ? newest.begin() : newest.upper_bound(after->second);
  nlohmann::json items = nlohmann::json::array();
  for (; entry != newest.end() && items.size() < kMaxPageItems; ++entry) {
    usage.readBytes_ += entry->second.value_.size();
    items.push_back({ { "key", entry->first },
                      { "value", platform::EncodeBase64(entry->second.value_) },
                      { "offset", ToWireOffset(entry->second.offset_) } });
  }
  const nlohmann::json page{ { "items", std::move(items) },
                             { "more", entry != newest.end() },
                             { "end-offset", ToWireOffset(store_.NextOffset(aStream)) } };
  SendAfterDelay(aRequest.responder_, kOk, page.dump());
}

void LogServer::JoinGroup(const ServerRequest& aRequest)
{
  const nlohmann::json join = nlohmann::json::parse(aRequest.body_, nullptr, false);
  const bool isValid = join.is_object() && join.contains("group") && join["group"].is_string() &&
                       join.contains("member") && join["member"].is_string() &&
                       join.contains("ttl-s") && join["ttl-s"].is_number() &&
                       join.contains("topics") && join["topics"].is_array() &&
                       join["topics"].size() == 1 && join["topics"][0].is_string();
  if (!isValid) {
    SendAfterDelay(aRequest.responder_, kBadRequest, "malformed join\n");
    return;
  }
  const auto timeToLive = std::chrono::duration_cast<common::Duration>(
    std::chrono::duration<double>(join["ttl-s"].get<double>()));
  const GroupStore::Assignment assignment = groups_.Join(join["group"].get<std::string>(),
                                                         join["topics"][0].get<std::string>(),
                                                         join["member"].get<std::string>(),
                                                         timeToLive,
                                                         common::Now());
  nlohmann::json parts = nlohmann::json::array();
  for (const std::uint32_t partition : assignment.partitions_) {
    parts.push_back({ join["topics"][0], partition, 0 });
  }
  SendAfterDelay(
    aRequest.responder_,
    kOk,
    nlohmann::json{ { "generation", assignment.generation_ }, { "parts", parts } }.dump());
}

void LogServer::ReadOwners(const ServerRequest& aRequest)
{
  const auto group = aRequest.query_.find("group");
  nlohmann::json rows = nlohmann::json::array();
  if (group != aRequest.query_.end()) {
    const GroupStore::Ownership ownership = groups_.Owners(group->second);
    for (const auto& [partition, member] : ownership.holders_) {
      rows.push_back({ ownership.topic_, partition, member, 0 });
    }
  }
  SendAfterDelay(aRequest.responder_, kOk, nlohmann::json{ { "owners", rows } }.dump());
}

void LogServer::StartLongPoll(const ServerRequest& aRequest, const std::string& aStream)
{
  const std::chrono::milliseconds requestedWait(aRequest.QueryNumber("wait-ms", 0));
  longPolls_.push_back({ aRequest, aStream, nullptr });
  const auto longPoll = std::prev(longPolls_.end());
  aRequest.responder_->OnClientDisconnect([this, longPoll]() { longPolls_.erase(longPoll); });
  longPoll->timer_ = loop_.After(std::min(requestedWait, kMaxReadWait),
                                 [this, longPoll]() { EndLongPoll(longPoll); });
}

void LogServer::EndLongPoll(LongPolls::iterator aLongPoll)
{
  const ServerRequest request = aLongPoll->request_;
  const std::string stream = aLongPoll->stream_;
  request.responder_->OnClientDisconnect(nullptr);
  longPolls_.erase(aLongPoll);
  AnswerRead(request, stream);
}

void LogServer::AnswerLongPolls(const std::string& aStream)
{
  for (auto longPoll = longPolls_.begin(); longPoll != longPolls_.end();) {
    const auto next = std::next(longPoll);
    const common::Offset from = FromWireOffset(longPoll->request_.QueryNumber("from", 0));
    if (longPoll->stream_ == aStream && from < store_.NextOffset(aStream)) {
      EndLongPoll(longPoll);
    }
    longPoll = next;
  }
}

void LogServer::SendAfterDelay(std::shared_ptr<Responder> aResponder,
                               int aStatus,
                               std::string aBody)
{
  if (behaviour_.delay_.count() == 0) {
    aResponder->Send(aStatus, {}, aBody);
    return;
  }
  auto timer = std::make_shared<std::unique_ptr<common::Watch>>();
  *timer =
    loop_.After(behaviour_.delay_,
                [timer, responder = std::move(aResponder), aStatus, body = std::move(aBody)]() {
                  responder->Send(aStatus, {}, body);
                  timer->reset();
                });
}

LogServer::Usage& LogServer::UsageOf(const ServerRequest& aRequest, const std::string& aStream)
{
  return usage_[{ aRequest.clientIp_, aStream }];
}

} // namespace dandelionstand::standins
