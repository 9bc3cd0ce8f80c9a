#include "standins/target/Announcer.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr std::chrono::seconds kRequestTimeout(1);

} // namespace

Announcer::Announcer(common::EventLoop& aLoop, Settings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , client_(aLoop, { .address_ = settings_.daemonAdmin_ })
{
}

void Announcer::Start()
{
  Announce();
  timer_ = loop_.Every(settings_.interval_, [this]() { Announce(); });
}

void Announcer::SetReady(bool aIsReady)
{
  isReady_ = aIsReady;
  if (timer_) {
    Announce();
  }
}

void Announcer::AnnounceLeaving(std::function<void()> aOnDone)
{
  timer_.reset();
  Post("/target/leaving", false, [onDone = std::move(aOnDone)](const platform::HttpResponse&) {
    onDone();
  });
}

void Announcer::Announce()
{
  Post("/target/announce", isReady_, [](const platform::HttpResponse&) {});
}

void Announcer::Post(const std::string& aPath,
                     bool aIsReady,
                     platform::HttpClient::Callback aCallback)
{
  const nlohmann::json body = { { "service", settings_.service_ },
                                { "address", settings_.target_.Get() },
                                { "ready", aIsReady } };
  client_.Send({ .method_ = platform::HttpMethod::kPost,
                 .target_ = aPath,
                 .headers_ = { { "Content-Type", "application/json" } },
                 .body_ = body.dump(),
                 .timeout_ = kRequestTimeout,
                 .onBody_ = nullptr },
               std::move(aCallback));
}

} // namespace dandelionstand::standins
