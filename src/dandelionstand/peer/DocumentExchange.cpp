#include "dandelionstand/peer/DocumentExchange.h"

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

//! A version reaches all daemons from the store within some 50 ms; one that is behind for longer
//! does not get it from there.
constexpr common::Duration kPatience = 250ms;
//! Between two questions; a lost one costs this much of the 2 s that a version may take.
constexpr common::Duration kQuestionInterval = 400ms;

} // namespace

void DocumentExchange::OnHeard(const common::Address& aPeer,
                               common::Version aVersion,
                               common::TimePoint aNow)
{
  if (aVersion < highest_ || aVersion <= own_) {
    return;
  }
  highest_ = aVersion;
  highestAt_ = aPeer;
  if (!behindSince_) {
    behindSince_ = aNow;
  }
}

void DocumentExchange::OnVersion(common::Version aVersion)
{
  own_ = aVersion;
  if (own_ >= highest_) {
    behindSince_.reset();
  }
}

std::optional<common::Address> DocumentExchange::Tick(common::TimePoint aNow)
{
  // Without any version nothing can be served, so there is no reason to wait for the store.
  const common::Duration patience = own_.Get() == 0 ? common::Duration(0) : kPatience;
  if (!behindSince_ || aNow - *behindSince_ < patience || aNow < nextQuestion_) {
    return std::nullopt;
  }
  nextQuestion_ = aNow + kQuestionInterval;
  return highestAt_;
}

} // namespace dandelionstand::peer
