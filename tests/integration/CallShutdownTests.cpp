#include "CallFleet.h"

#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

//! Callers that send browse calls and payments until they are stopped. Each answer is checked for
//! the identity of its request.
class Callers
{
public:
  Callers(CallFleet& aCallFleet, std::vector<std::size_t> aDaemons)
    : callFleet_(aCallFleet)
  {
    for (std::size_t caller = 0; caller < aDaemons.size(); ++caller) {
      const std::size_t daemon = aDaemons[caller];
      const std::string prefix = std::to_string(caller) + "-";
      threads_.emplace_back([this, daemon, prefix] { SendBrowseCalls(daemon, "b" + prefix); });
      threads_.emplace_back([this, daemon, prefix] { SendPayments(daemon, "p" + prefix); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop()
  {
    isStopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  std::atomic<std::uint64_t> answeredCount_ = 0;
  std::atomic<std::uint64_t> notRunCount_ = 0;  //!< Refused as not run.
  std::atomic<std::uint64_t> unknownCount_ = 0; //!< Unknown outcome or no answer.
  std::atomic<std::uint64_t> wrongCount_ = 0;   //!< Answer incomplete or of another request.
  std::vector<std::string> notRunIdentities_;
  std::vector<std::string> paymentIdentities_;
  std::mutex mutex_;

private:
  void SendBrowseCalls(std::size_t aDaemon, const std::string& aPrefix)
  {
    for (std::uint64_t i = 0; !isStopped_; ++i) {
      const std::string identity = aPrefix + std::to_string(i);
      const RequestOptions options{ .headers_ = { { "Request-Identity", identity } } };
      const std::uint64_t bytes = i % 20 == 0 ? 200'000 : 2'000;
      const HttpReply reply =
        callFleet_.fleet_[aDaemon].Get("/browse?bytes=" + std::to_string(bytes), options);
      CountReply(reply, identity);
      const bool isIdentityEchoed =
        reply.body_.starts_with(identity + "\n") && reply.body_.ends_with("\n" + identity);
      if (reply.status_ == 200 && (reply.body_.size() != bytes || !isIdentityEchoed)) {
        ++wrongCount_;
      }
    }
  }

  void SendPayments(std::size_t aDaemon, const std::string& aPrefix)
  {
    for (std::uint64_t i = 0; !isStopped_; ++i) {
      const std::string identity = aPrefix + std::to_string(i);
      const HttpReply reply = SendPayment(callFleet_.fleet_[aDaemon], identity);
      CountReply(reply, identity);
      const std::lock_guard lock(mutex_);
      paymentIdentities_.push_back(identity);
      if (RunStateOf(reply) == "not-run") {
        notRunIdentities_.push_back(identity);
      }
    }
  }

  void CountReply(const HttpReply& aReply, const std::string& aIdentity)
  {
    if (aReply.status_ == 200) {
      ++answeredCount_;
      wrongCount_ += aReply.Header("request-identity") == aIdentity ? 0 : 1;
    } else if (RunStateOf(aReply) == "not-run") {
      ++notRunCount_;
    } else {
      ++unknownCount_;
    }
  }

  CallFleet& callFleet_;
  std::atomic<bool> isStopped_ = false;
  std::vector<std::thread> threads_;
};

//! Sums the runs of all targets by identity.
std::map<std::string, std::uint64_t> SumRunsByIdentity(Fleet& aFleet)
{
  std::map<std::string, std::uint64_t> runs;
  for (FleetInstance& instance : aFleet) {
    const nlohmann::json counted = GetJson(instance.Addresses().target_, "/runs?by=identity");
    for (const auto& [identity, count] : counted.items()) {
      runs[identity] += count.get<std::uint64_t>();
    }
  }
  return runs;
}

void CheckRuns(Fleet& aFleet, const Callers& aCallers)
{
  const auto runs = SumRunsByIdentity(aFleet);
  const auto runCount = [&](const std::string& aIdentity) {
    const auto found = runs.find(aIdentity);
    return found == runs.end() ? 0 : found->second;
  };
  for (const std::string& identity : aCallers.notRunIdentities_) {
    INFO("refused as not run: " << identity);
    CHECK(runCount(identity) == 0);
  }
  for (const std::string& identity : aCallers.paymentIdentities_) {
    INFO("payment " << identity);
    CHECK(runCount(identity) <= 1);
  }
}

} // namespace

TEST_CASE("A rolling restart under load interrupts no request in flight",
          "[integration][calls][stop]")
{
  CallFleet calls(2, 3);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 100 } });
  }
  // The callers use daemons 0 and 3, which are not restarted.
  Callers callers(calls, { 0, 3 });
  REQUIRE(WaitUntil([&] { return callers.answeredCount_ > 100; }));
  for (const std::size_t index : { 1, 2, 4, 5 }) {
    const auto exitResult = fleet[index].Terminate();
    REQUIRE(exitResult);
    CHECK(*exitResult == ExitResult{ 0, 0 });
    fleet[index].StartDaemon();
    REQUIRE(calls.WaitForService(fleet[index]));
  }
  callers.Stop();
  CHECK(callers.unknownCount_ == 0);
  CHECK(callers.wrongCount_ == 0);
  CHECK(callers.notRunCount_ == 0);
  CheckRuns(fleet, callers);
}

TEST_CASE(
  "A stopping daemon finishes requests that callers have sent and refuses later ones as not run",
  "[integration][calls][stop]")
{
  CallFleet calls(1, 2);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 400 } });
  }
  std::vector<std::future<HttpReply>> inFlight;
  for (int i = 0; i < 8; ++i) {
    inFlight.push_back(SendPaymentAsync(fleet[0], "stop-" + std::to_string(i)));
  }
  REQUIRE(WaitUntil([&] { return calls.CountRunsByIdentity("stop-7") == 1; }));
  fleet[0].Daemon().Terminate();
  std::string refusedIdentity;
  const auto isRefused = [&, count = 0]() mutable {
    refusedIdentity = "late-" + std::to_string(++count);
    return RunStateOf(SendPayment(fleet[0], refusedIdentity)) == "not-run";
  };
  REQUIRE(WaitUntil(isRefused));
  for (auto& reply : inFlight) {
    CHECK(reply.get().status_ == 200);
  }
  CHECK(calls.CountRunsByIdentity(refusedIdentity) == 0);
  const auto exitResult = fleet[0].Daemon().Wait();
  REQUIRE(exitResult);
  CHECK(*exitResult == ExitResult{ 0, 0 });
}

TEST_CASE(
  "Requests refused as not run did not run, and each answer is complete and belongs to its request",
  "[integration][calls][truth]")
{
  CallFleet calls(2, 2, 1);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 30 }, { "slots", 1 } });
  }
  Callers callers(calls, { 0, 0, 0, 0, 0, 0, 0, 0, 2, 2, 2, 2, 2, 2, 2, 2 });
  REQUIRE(WaitUntil([&] { return callers.answeredCount_ > 100; }));
  const FaultProxyClient& faultProxy = fleet.GetFaultProxy();
  for (int round = 0; round < 2; ++round) {
    // Breaks the connection during the answer, after the request has run.
    fleet[0].ControlTarget({ { "breaks", 10 }, { "break_after_bytes", 10 } });
    faultProxy.Cut(fleet[0].Domain(), fleet[2].Domain());
    std::this_thread::sleep_for(400ms);
    faultProxy.HealAll();
    fleet[3].Kill();
    std::this_thread::sleep_for(400ms);
    fleet[3].StartDaemon();
    fleet[1].Pause();
    std::this_thread::sleep_for(1s);
    fleet[1].Continue();
    faultProxy.Freeze(fleet[0].Domain(), fleet[2].Domain());
    std::this_thread::sleep_for(600ms);
  }
  callers.Stop();
  WARN("answered " << callers.answeredCount_ << ", not run " << callers.notRunCount_ << ", unknown "
                   << callers.unknownCount_);
  CHECK(callers.answeredCount_ > 300);
  CHECK(callers.notRunCount_ > 20);
  CHECK(callers.wrongCount_ == 0);
  CheckRuns(fleet, callers);
}
