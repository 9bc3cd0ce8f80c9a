#ifndef dandelionstand_load_LoadRun_h
#define dandelionstand_load_LoadRun_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/HttpCaller.h"
#include "dandelionstand/load/Report.h"
#include "dandelionstand/load/Schedule.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionstand::load {

struct LoadSettings
{
  std::vector<common::Address> entryPoints_;   //!< Where daemons accept calls.
  std::vector<common::Address> directTargets_; //!< Targets called without a daemon; may be empty.
  std::vector<common::Address> runCounters_;   //!< Targets that report their run counts at /runs.
  std::vector<CallClass> classes_;
  std::vector<RateStep> steps_; //!< Total rates over all classes and both paths.
  std::uint64_t maxCalls_ = 1'000'000;
  std::uint64_t seed_ = 1;
  std::uint32_t repeatPercent_ = 0; //!< Percentage of keyed calls sent twice concurrently.
  std::size_t connections_ = 64;    //!< Maximum connections to each address.
  common::Duration timeout_ = std::chrono::seconds(30);
  std::string runName_; //!< Part of every identity and idempotency key.
};

//! One open-loop load run over HTTP. If there are direct targets, every second call that is not
//! keyed goes directly to a target, so that calls through the mesh and direct calls are measured
//! under the same conditions.
class LoadRun
{
public:
  LoadRun(common::EventLoop& aLoop, LoadSettings aSettings);

  void Start();

  //! Emitted once, when all calls and all requests for run counts have completed or failed.
  sigc::signal<void, const RunResults&> onDone_;

private:
  void SendDueCalls();
  void HandleArrival(const Arrival& aArrival);
  void SendCall(HttpCaller& aCaller,
                const TallyKey& aKey,
                const CallPlan& aPlan,
                common::TimePoint aDueAt);
  void HandleAnswer(const TallyKey& aKey,
                    const CallPlan& aPlan,
                    common::TimePoint aDueAt,
                    const Answer& aAnswer,
                    std::uint32_t aAttempts);
  void FinishIfIdle();
  void RequestRunCounts();
  void HandleRunCounts(const platform::HttpResponse& aResponse);
  //! True with a probability of aPercent percent.
  bool DrawBernoulli(std::uint32_t aPercent);
  HttpCaller& DrawCaller(std::vector<std::unique_ptr<HttpCaller>>& aCallers);

  common::EventLoop& loop_;
  LoadSettings settings_;
  Schedule schedule_;
  Mix mix_;
  std::mt19937_64 random_;
  RunResults results_;
  std::vector<std::unique_ptr<HttpCaller>> entryPointCallers_;
  std::vector<std::unique_ptr<HttpCaller>> directCallers_;
  std::vector<std::unique_ptr<platform::HttpClient>> runCountClients_;
  std::optional<Arrival> nextArrival_;
  std::unique_ptr<common::Watch> sendTimer_;
  common::TimePoint startedAt_;
  std::uint64_t callsInFlight_ = 0;
  std::size_t pendingRunCounts_ = 0;
  bool isDirectTurn_ = false; //!< Toggled by each call that is not keyed.
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_LoadRun_h
