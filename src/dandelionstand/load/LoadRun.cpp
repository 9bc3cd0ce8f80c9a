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
  AddCallers(loop_, settings_, settings_.entryPoints_, entryPoints_);
  AddCallers(loop_, settings_, settings_.directTargets_, directTargets_);
  for (const common::Address& address : settings_.runCounters_) {
    runCounters_.push_back(std::make_unique<platform::HttpClient>(
      loop_,
      platform::HttpClientSettings{ .address_ = address, .maxBodyBytes_ = kMaxRunCountBytes }));
  }
}

void LoadRun::Start()
{
  start_ = common::Now();
  next_ = schedule_.Next();
  SendDue();
}

void LoadRun::SendDue()
{
  while (next_ && start_ + next_->sinceStart_ <= common::Now()) {
    SendArrival(*next_);
    next_ = schedule_.Next();
  }
  if (next_) {
    timer_ = loop_.After(start_ + next_->sinceStart_ - common::Now(), [this]() { SendDue(); });
  } else {
    FinishIfIdle();
  }
}

void LoadRun::SendArrival(const Arrival& aArrival)
{
  const CallPlan plan = mix_.Next();
  const CallClass& callClass = settings_.classes_[plan.class_];
  const common::TimePoint due = start_ + aArrival.sinceStart_;
  TallyKey key{ CallPath::kMesh, aArrival.step_, callClass.trafficClass_ };
  if (!callClass.isKeyed_ && !directTargets_.empty()) {
    isNextDirect_ = !isNextDirect_;
    if (isNextDirect_) {
      key.callPath_ = CallPath::kDirect;
      SendTo(DrawCaller(directTargets_), key, plan, due);
      return;
    }
  }
  SendTo(DrawCaller(entryPoints_), key, plan, due);
  if (callClass.isKeyed_ && DrawPercent(settings_.repeatPercent_)) {
    SendTo(DrawCaller(entryPoints_), key, plan, due);
  }
}

void LoadRun::SendTo(HttpCaller& aCaller,
                     const TallyKey& aKey,
                     const CallPlan& aPlan,
                     common::TimePoint aDue)
{
  inFlight_ += 1;
  aCaller.Call(aPlan, [this, aKey, aPlan, aDue](const Answer& aAnswer, std::uint32_t aAttempts) {
    TakeAnswer(aKey, aPlan, aDue, aAnswer, aAttempts);
  });
}

void LoadRun::TakeAnswer(const TallyKey& aKey,
                         const CallPlan& aPlan,
                         common::TimePoint aDue,
                         const Answer& aAnswer,
                         std::uint32_t aAttempts)
{
  inFlight_ -= 1;
  CallResult result;
  result.key_ = aKey;
  result.verdict_ = CheckAnswer(aPlan, aAnswer);
  result.refusal_ = { ParseRunState(aAnswer.runState_).value_or(RunState::kUnknown),
                      aAnswer.reason_ };
  result.latency_ = common::Now() - aDue;
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
  if (next_ || inFlight_ > 0) {
    return;
  }
  if (runCounters_.empty()) {
    results_.orders_.MarkIncomplete();
    loop_.Post([this]() { onDone_.emit(results_); });
  } else {
    AskRunCounters();
  }
}

void LoadRun::AskRunCounters()
{
  unaskedCounters_ = runCounters_.size();
  for (const auto& counter : runCounters_) {
    platform::HttpRequest request;
    request.target_ = "/runs";
    request.timeout_ = kRunCountTimeout;
    counter->Send(std::move(request),
                  [this](const platform::HttpResponse& aAnswer) { TakeRuns(aAnswer); });
  }
}

void LoadRun::TakeRuns(const platform::HttpResponse& aAnswer)
{
  const auto runs = ParseRunCounts(aAnswer.body_);
  if (aAnswer.outcome_ == platform::HttpOutcome::kAnswered && runs) {
    for (const OrderRuns& order : *runs) {
      results_.orders_.AddRuns(order);
    }
  } else {
    results_.orders_.MarkIncomplete();
  }
  unaskedCounters_ -= 1;
  if (unaskedCounters_ == 0) {
    loop_.Post([this]() { onDone_.emit(results_); });
  }
}

bool LoadRun::DrawPercent(std::uint32_t aPercent)
{
  return std::uniform_int_distribution<std::uint32_t>(1, 100)(random_) <= aPercent;
}

HttpCaller& LoadRun::DrawCaller(std::vector<std::unique_ptr<HttpCaller>>& aCallers)
{
  std::uniform_int_distribution<std::size_t> index(0, aCallers.size() - 1);
  return *aCallers[index(random_)];
}

} // namespace dandelionstand::load
