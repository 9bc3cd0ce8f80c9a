#include "CallSession.h"

#include <stdexcept>

namespace dandelionstand::caller::test {

namespace {

constexpr std::uint64_t kSeed = 3;
const common::TimePoint kStart{ std::chrono::hours(1) };
const std::string kEventPrefix = "> ";

} // namespace

std::string CallSession::Replay(const std::string& aSession)
{
  std::istringstream lines(aSession);
  std::string transcript;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(kEventPrefix)) {
      transcript += line + "\n" + ToText(Apply(line.substr(kEventPrefix.size())));
    } else if (line.starts_with("#")) {
      transcript += line + "\n";
    }
  }
  return transcript;
}

CallActions CallSession::Apply(const std::string& aEvent)
{
  std::istringstream words(aEvent);
  std::string first;
  words >> first;
  if (first == "plan") {
    SetUpCall(words);
    return {};
  }
  now_ = kStart + std::chrono::milliseconds(std::stoi(first));
  std::string kind;
  words >> kind;
  return ApplyToMachine(kind, words);
}

void CallSession::SetUpCall(std::istringstream& aWords)
{
  std::string idempotency;
  int timeoutMs = 0;
  CallPlan plan;
  std::string kind;
  aWords >> idempotency >> timeoutMs >> plan.attempts_ >> kind;
  const bool isIdempotent = idempotency == "idempotent";
  plan.idempotency_ = isIdempotent ? config::Idempotency::kIdempotent : config::Idempotency::kOnce;
  plan.headDeadline_ = kStart + std::chrono::milliseconds(timeoutMs);
  plan.mayContinue_ = kind == "download";
  if (!plan.mayContinue_) {
    plan.endDeadline_ = plan.headDeadline_;
  }
  PickerSettings settings;
  settings.failureDomain_ = common::FailureDomain("d1");
  settings.region_ = common::Region("r1");
  picker_ = std::make_unique<EndpointPicker>(settings, kSeed);
  std::vector<Endpoint> endpoints;
  int domain = 1;
  for (std::string name; aWords >> name; ++domain) {
    // Each endpoint has its own failure domain, so that the order of the picks is fixed.
    const std::string region = domain < 3 ? "r1" : "r2";
    endpoints.push_back({ common::InstanceId(name),
                          common::Incarnation(1),
                          common::Address(name),
                          common::FailureDomain("d" + std::to_string(domain)),
                          common::Region(region) });
  }
  picker_->SetEndpoints(endpoints, kStart - std::chrono::minutes(1));
  budget_ = std::make_unique<RetryBudget>(RetryBudgetSettings{});
  machine_ = std::make_unique<CallMachine>(plan, *picker_, *budget_);
}

CallActions CallSession::ApplyToMachine(const std::string& aKind, std::istringstream& aWords)
{
  std::uint32_t number = 0;
  aWords >> number;
  if (aKind == "begin") {
    return machine_->Begin(now_);
  }
  if (aKind == "time") {
    return machine_->OnTimer(now_);
  }
  if (aKind == "taken") {
    return machine_->OnBodyConsumed(number, now_);
  }
  if (aKind == "caller-gone") {
    return machine_->OnCallerDisconnected(now_);
  }
  if (aKind == "link-lost") {
    return machine_->OnLinkLost(now_);
  }
  if (aKind == "head") {
    return machine_->OnHead(number, ParseHead(aWords), now_);
  }
  if (aKind == "body") {
    AttemptBody body;
    std::size_t length = 0;
    std::string damage;
    aWords >> body.sequence_ >> length >> damage;
    body.data_ = std::string(length, 'x');
    body.checksum_ = ChecksumOf(body.data_) + (damage.empty() ? 0 : 1);
    bodies_[number] += body.data_;
    return machine_->OnBody(number, body, now_);
  }
  if (aKind == "end") {
    const std::string& body = bodies_[number];
    return machine_->OnEnd(number, { body.size(), ChecksumOf(body) }, now_);
  }
  if (aKind == "failed") {
    return machine_->OnFailed(number, ParseFailed(aWords), now_);
  }
  throw std::invalid_argument("unknown event: " + aKind);
}

AttemptHead CallSession::ParseHead(std::istringstream& aWords) const
{
  AttemptHead head;
  aWords >> head.status_;
  for (std::string word; aWords >> word;) {
    const auto colon = word.find(':');
    std::string value = word.substr(colon + 1);
    const auto underscore = value.find('_');
    if (underscore != std::string::npos) {
      value[underscore] = ' ';
    }
    head.headers_.push_back({ word.substr(0, colon), value });
  }
  return head;
}

AttemptFailed CallSession::ParseFailed(std::istringstream& aWords) const
{
  AttemptFailed failed;
  std::string run;
  std::string deep;
  aWords >> failed.reason_ >> run >> deep;
  failed.deep_ = deep == "deep";
  if (run == "not-run") {
    failed.runState_ = RunState::kNotRun;
  } else if (run == "run") {
    failed.runState_ = RunState::kRun;
  }
  return failed;
}

} // namespace dandelionstand::caller::test
