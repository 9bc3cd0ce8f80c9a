#include "dandelionstand/caller/RetryAfter.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

using namespace std::chrono_literals;

//! A daemon that is stopping sends its callers to another one at once.
constexpr common::Duration kElsewhere = 20ms;
//! Least and most time for room to appear; callers here have 1.5 to 2 s in all and heed at most a
//! third of what is left.
constexpr common::Duration kLeast = 60ms;
constexpr common::Duration kMost = 500ms;

} // namespace

common::Duration RetryAfter(const RefusalFacts& aFacts, std::mt19937_64& aRandom)
{
  if (aFacts.reason_ == "daemon-draining") {
    return kElsewhere;
  }
  const common::Duration room = std::clamp(aFacts.room_, kLeast, kMost);
  std::uniform_int_distribution<common::Duration::rep> spread(room.count(), 2 * room.count());
  return common::Duration(spread(aRandom));
}

} // namespace dandelionstand::caller
