#include "dandelionstand/load/LoadRun.h"

#include "dandelionstand/load/RunCounts.h"

#include <utility>

namespace dandelionstand::load {

namespace {

constexpr common::Duration kRunCountTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxRunCountBytes = 67'108'864;

void AddCallers(common::EventLoop& aLoop,
                const LoadSettings& aSettings,
                const std::vector<common::Address>& aAddresses,
                std::vector<std::unique_ptr<HttpCaller>>& aCallers)
{
  for (const common::Address& address : aAddresses) {
    aCallers.push_back(std::make_unique<HttpCaller>(
      aLoop, HttpCallerSettings{ address, aSettings.connections_, aSettings.timeout_ }));
  }
}

} // namespace

LoadRun::LoadRun(common::EventLoop& aLoop, LoadSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , schedule_(settings_.steps_, settings_.maxCalls_, settings_.seed_)
  , mix_(settings_.classes_, settings_.runName_, settings_.seed_)
  , random_(settings_.seed_)
{
  results_.steps_ = settings_.steps_;
  results_.seed_ = settings_.seed_;
  AddCallers(loop_, settings_, settings_.entryPoints_, entryPointCallers_);
  AddCallers(loop_, settings_, settings_.directTargets_, directCallers_);
  for (const common::Address& address : settings_.runCounters_) {
    runCountClients_.push_back(std::make_unique<platform::HttpClient>(
      loop_,
      platform::HttpClientSettings{ .address_ = address, .maxBodyBytes_ = kMaxRunCountBytes }));
  }
}

void LoadRun::Start()
{
  startedAt_ = common::Now();
  nextArrival_ = schedule_.Next();
  SendDueCalls();
}

void LoadRun::SendDueCalls()
{
  while (nextArrival_ && startedAt_ + nextArrival_->timeSinceStart_ <= common::Now()) {
    HandleArrival(*nextArrival_);
    nextArrival_ = schedule_.Next();
  }
  if (nextArrival_) {
    sendTimer_ = loop_.After(startedAt_ + nextArrival_->timeSinceStart_ - common::Now(),
                             [this]() { SendDueCalls(); });
  } else {
    FinishIfIdle();
  }
}

void LoadRun::HandleArrival(const Arrival& aArrival)
{
  const CallPlan plan = mix_.Next();
  const CallClass& callClass = settings_.classes_[plan.classIndex_];
  const common::TimePoint dueAt = startedAt_ + aArrival.timeSinceStart_;
  TallyKey key{ CallPath::kMesh, aArrival.step_, callClass.trafficClass_ };
  if (!callClass.isKeyed_ && !directCallers_.empty()) {
    isDirectTurn_ = !isDirectTurn_;
    if (isDirectTurn_) {
      key.callPath_ = CallPath::kDirect;
      SendCall(DrawCaller(directCallers_), key, plan, dueAt);
      return;
    }
  }
  SendCall(DrawCaller(entryPointCallers_), key, plan, dueAt);
  if (callClass.isKeyed_ && DrawBernoulli(settings_.repeatPercent_)) {
    SendCall(DrawCaller(entryPointCallers_), key, plan, dueAt);
  }
}

void LoadRun::SendCall(HttpCaller& aCaller,
                       const TallyKey& aKey,
                       const CallPlan& aPlan,
                       common::TimePoint aDueAt)
{
  callsInFlight_ += 1;
  aCaller.Call(aPlan, [this, aKey, aPlan, aDueAt](const Answer& aAnswer, std::uint32_t aAttempts) {
    HandleAnswer(aKey, aPlan, aDueAt, aAnswer, aAttempts);
  });
}

void LoadRun::HandleAnswer(const TallyKey& aKey,
                           const CallPlan& aPlan,
                           common::TimePoint aDueAt,
                           const Answer& aAnswer,
                           std::uint32_t aAttempts)
{
  callsInFlight_ -= 1;
  CallResult result;
  result.key_ = aKey;
  result.verdict_ = CheckAnswer(aPlan, aAnswer);
  result.refusal_ = { ParseRunState(aAnswer.runState_).value_or(RunState::kUnknown),
                      aAnswer.reason_ };
  result.latency_ = common::Now() - aDueAt;
  result.attempts_ = aAttempts;
  results_.tally_.Add(result);
  if (!aPlan.idempotencyKey_.empty()) {
    results_.orders_.AddOutcome(
      { aPlan.idempotencyKey_, result.verdict_, result.refusal_.runState_ });
  }
  FinishIfIdle();
}

void LoadRun::FinishIfIdle()
{
  if (nextArrival_ || callsInFlight_ > 0) {
    return;
  }
  if (runCountClients_.empty()) {
    results_.orders_.MarkIncomplete();
    loop_.Post([this]() { onDone_.emit(results_); });
  } else {
    RequestRunCounts();
  }
}

void LoadRun::RequestRunCounts()
{
  pendingRunCounts_ = runCountClients_.size();
  for (const auto& client : runCountClients_) {
    platform::HttpRequest request;
    request.target_ = "/runs";
    request.timeout_ = kRunCountTimeout;
    client->Send(std::move(request),
                 [this](const platform::HttpResponse& aResponse) { HandleRunCounts(aResponse); });
  }
}

void LoadRun::HandleRunCounts(const platform::HttpResponse& aResponse)
{
  const auto runs = ParseRunCounts(aResponse.body_);
  if (aResponse.outcome_ == platform::HttpOutcome::kAnswered && runs) {
    for (const OrderRuns& order : *runs) {
      results_.orders_.AddRuns(order);
    }
  } else {
    results_.orders_.MarkIncomplete();
  }
  pendingRunCounts_ -= 1;
  if (pendingRunCounts_ == 0) {
    loop_.Post([this]() { onDone_.emit(results_); });
  }
}

bool LoadRun::DrawBernoulli(std::uint32_t aPercent)
{
  return std::uniform_int_distribution<std::uint32_t>(1, 100)(random_) <= aPercent;
}

HttpCaller& LoadRun::DrawCaller(std::vector<std::unique_ptr<HttpCaller>>& aCallers)
{
  std::uniform_int_distribution<std::size_t> index(0, aCallers.size() - 1);
  return *aCallers[index(random_)];
}

} // namespace dandelionstand::load
