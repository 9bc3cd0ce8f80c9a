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

//! Callers that send requests of each kind to one daemon until they are stopped; each answer is
//! checked for the identity of its request.
class Callers
{
public:
  Callers(CallFleet& aCalls, std::vector<std::size_t> aDaemons)
    : calls_(aCalls)
  {
    for (std::size_t caller = 0; caller < aDaemons.size(); ++caller) {
      const std::size_t daemon = aDaemons[caller];
      const std::string name = std::to_string(caller) + "-";
      threads_.emplace_back([this, daemon, name] { Browse(daemon, "b" + name); });
      threads_.emplace_back([this, daemon, name] { Pay(daemon, "p" + name); });
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

  std::atomic<std::uint64_t> answered_ = 0;
  std::atomic<std::uint64_t> refused_ = 0; //!< Told as not run.
  std::atomic<std::uint64_t> cut_ = 0;     //!< Unknown outcome or no answer.
  std::atomic<std::uint64_t> wrong_ = 0;   //!< Another request's answer, or not whole.
  std::vector<std::string> refusedIdentities_;
  std::vector<std::string> paidIdentities_;
  std::mutex mutex_;

private:
  void Browse(std::size_t aDaemon, const std::string& aPrefix)
  {
    for (std::uint64_t i = 0; !isStopped_; ++i) {
      const std::string identity = aPrefix + std::to_string(i);
      const RequestOptions options{ .headers_ = { { "Request-Identity", identity } } };
      const std::uint64_t bytes = i % 20 == 0 ? 200'000 : 2'000;
      const HttpReply reply =
        calls_.fleet_[aDaemon].Get("/browse?bytes=" + std::to_string(bytes), options);
      Count(reply, identity);
      const bool isOwn =
        reply.body_.starts_with(identity + "\n") && reply.body_.ends_with("\n" + identity);
      if (reply.status_ == 200 && (reply.body_.size() != bytes || !isOwn)) {
        ++wrong_;
      }
    }
  }

  void Pay(std::size_t aDaemon, const std::string& aPrefix)
  {
    for (std::uint64_t i = 0; !isStopped_; ++i) {
      const std::string identity = aPrefix + std::to_string(i);
      const HttpReply reply = SendPayment(calls_.fleet_[aDaemon], identity);
      Count(reply, identity);
      const std::lock_guard lock(mutex_);
      paidIdentities_.push_back(identity);
      if (RunStateOf(reply) == "not-run") {
        refusedIdentities_.push_back(identity);
      }
    }
  }

  void Count(const HttpReply& aReply, const std::string& aIdentity)
  {
    if (aReply.status_ == 200) {
      ++answered_;
      wrong_ += aReply.Header("request-identity") == aIdentity ? 0 : 1;
    } else if (RunStateOf(aReply) == "not-run") {
      ++refused_;
    } else {
      ++cut_;
    }
  }

  CallFleet& calls_;
  std::atomic<bool> isStopped_ = false;
  std::vector<std::thread> threads_;
};

//! Sums the runs of all targets by identity.
std::map<std::string, std::uint64_t> AllRuns(Fleet& aFleet)
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
  const auto runs = AllRuns(aFleet);
  const auto runsOf = [&](const std::string& aIdentity) {
    const auto found = runs.find(aIdentity);
    return found == runs.end() ? 0 : found->second;
  };
  for (const std::string& identity : aCallers.refusedIdentities_) {
    INFO("told as not run: " << identity);
    CHECK(runsOf(identity) == 0);
  }
  for (const std::string& identity : aCallers.paidIdentities_) {
    INFO("payment " << identity);
    CHECK(runsOf(identity) <= 1);
  }
}

} // namespace

TEST_CASE("A rolling restart under load cuts no request in flight", "[integration][calls][stop]")
{
  CallFleet calls(2, 3);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 100 } });
  }
  // Callers use daemons 0 and 3, which are restarted last, without load on themselves.
  Callers callers(calls, { 0, 3 });
  REQUIRE(WaitUntil([&] { return callers.answered_ > 100; }));
  for (const std::size_t index : { 1, 2, 4, 5 }) {
    const auto ended = fleet[index].Terminate();
    REQUIRE(ended);
    CHECK(*ended == ExitResult{ 0, 0 });
    fleet[index].StartDaemon();
    REQUIRE(calls.WaitForService(fleet[index]));
  }
  callers.Stop();
  CHECK(callers.cut_ == 0);
  CHECK(callers.wrong_ == 0);
  CHECK(callers.refused_ == 0);
  CheckRuns(fleet, callers);
}

TEST_CASE("A stopping daemon finishes what its callers sent and refuses the rest truthfully",
          "[integration][calls][stop]")
{
  CallFleet calls(1, 2);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 400 } });
  }
  std::vector<std::future<HttpReply>> inFlight;
  for (int i = 0; i < 8; ++i) {
    inFlight.push_back(SendPaymentLater(fleet[0], "stop-" + std::to_string(i)));
  }
  REQUIRE(WaitUntil([&] { return calls.RunsOfIdentity("stop-7") == 1; }));
  fleet[0].Daemon().Terminate();
  std::string late;
  const auto isRefused = [&, count = 0]() mutable {
    late = "late-" + std::to_string(++count);
    return RunStateOf(SendPayment(fleet[0], late)) == "not-run";
  };
  REQUIRE(WaitUntil(isRefused));
  for (auto& reply : inFlight) {
    CHECK(reply.get().status_ == 200);
  }
  CHECK(calls.RunsOfIdentity(late) == 0);
  const auto ended = fleet[0].Daemon().Wait();
  REQUIRE(ended);
  CHECK(*ended == ExitResult{ 0, 0 });
}

TEST_CASE("What is told as not run was not run, and answers are whole and one's own",
          "[integration][calls][truth]")
{
  CallFleet calls(2, 2, 1);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 30 }, { "slots", 1 } });
  }
  Callers callers(calls, { 0, 0, 0, 0, 0, 0, 0, 0, 2, 2, 2, 2, 2, 2, 2, 2 });
  REQUIRE(WaitUntil([&] { return callers.answered_ > 100; }));
  const FaultProxyClient& borders = fleet.GetFaultProxy();
  for (int round = 0; round < 2; ++round) {
    // These answers break off after the run.
    fleet[0].ControlTarget({ { "breaks", 10 }, { "break_after_bytes", 10 } });
    borders.Cut(fleet[0].Domain(), fleet[2].Domain());
    std::this_thread::sleep_for(400ms);
    borders.HealAll();
    fleet[3].Kill();
    std::this_thread::sleep_for(400ms);
    fleet[3].StartDaemon();
    fleet[1].Pause();
    std::this_thread::sleep_for(1s);
    fleet[1].Continue();
    borders.Freeze(fleet[0].Domain(), fleet[2].Domain());
    std::this_thread::sleep_for(600ms);
  }
  callers.Stop();
  WARN("answered " << callers.answered_ << ", not run " << callers.refused_ << ", unknown "
                   << callers.cut_);
  CHECK(callers.answered_ > 300);
  CHECK(callers.refused_ > 20);
  CHECK(callers.wrong_ == 0);
  CheckRuns(fleet, callers);
}
