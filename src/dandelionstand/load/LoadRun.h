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
  std::vector<common::Address> entryPoints_;   //!< Daemons that take the calls.
  std::vector<common::Address> directTargets_; //!< Called without daemons; empty for none.
  std::vector<common::Address> runCounters_;   //!< Control addresses of targets that count runs.
  std::vector<CallClass> classes_;
  std::vector<RateStep> steps_; //!< Rates over all classes and both ways together.
  std::uint64_t maxCalls_ = 1'000'000;
  std::uint64_t seed_ = 1;
  std::uint32_t repeatPercent_ = 0; //!< Keyed orders sent twice at the same time.
  std::size_t connections_ = 64;    //!< For each address.
  common::Duration timeout_ = std::chrono::seconds(30);
  std::string runName_; //!< Part of each identity and key.
};

//! One open-loop run over HTTP. With direct targets, every other call that is not keyed goes
//! straight to a target, so that both ways are measured under the same conditions.
class LoadRun
{
public:
  LoadRun(common::EventLoop& aLoop, LoadSettings aSettings);

  void Start();

  //! Emitted once, when every call has ended and the run counters have been asked.
  sigc::signal<void, const RunResults&> onDone_;

private:
  void SendDue();
  void SendArrival(const Arrival& aArrival);
  void SendTo(HttpCaller& aCaller,
              const TallyKey& aKey,
              const CallPlan& aPlan,
              common::TimePoint aDue);
  void TakeAnswer(const TallyKey& aKey,
                  const CallPlan& aPlan,
                  common::TimePoint aDue,
                  const Answer& aAnswer,
                  std::uint32_t aAttempts);
  void FinishIfIdle();
  void AskRunCounters();
  void TakeRuns(const platform::HttpResponse& aAnswer);
  bool DrawPercent(std::uint32_t aPercent);
  HttpCaller& DrawCaller(std::vector<std::unique_ptr<HttpCaller>>& aCallers);

  common::EventLoop& loop_;
  LoadSettings settings_;
  Schedule schedule_;
  Mix mix_;
  std::mt19937_64 random_;
  RunResults results_;
  std::vector<std::unique_ptr<HttpCaller>> entryPoints_;
  std::vector<std::unique_ptr<HttpCaller>> directTargets_;
  std::vector<std::unique_ptr<platform::HttpClient>> runCounters_;
  std::optional<Arrival> next_;
  std::unique_ptr<common::Watch> timer_;
  common::TimePoint start_;
  std::uint64_t inFlight_ = 0;
  std::size_t unaskedCounters_ = 0;
  bool isNextDirect_ = false;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_LoadRun_h
