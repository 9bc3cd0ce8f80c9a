#include "dandelionstand/caller/ClaimStream.h"

#include <utility>

namespace dandelionstand::caller {

ClaimStream::ClaimStream(platform::Log& aLog,
                         platform::StreamName aStream,
                         ClaimSettings aSettings,
                         DecisionHandler aOnDecision)
  : log_(aLog)
  , stream_(std::move(aStream))
  , claims_(std::move(aSettings))
  , onDecision_(std::move(aOnDecision))
{
}

void ClaimStream::Claim(ClaimNumber aNumber, const KeyHash& aKey)
{
  Perform(claims_.Claim(aNumber, aKey, common::Now(), common::WallClockMs()));
}

void ClaimStream::Release(ClaimNumber aNumber)
{
  Perform(claims_.Release(aNumber, common::Now(), common::WallClockMs()));
}

void ClaimStream::Tick()
{
  Perform(claims_.Tick(common::Now(), common::WallClockMs()));
}

void ClaimStream::Perform(const ClaimActions& aActions)
{
  const std::weak_ptr<bool> alive = alive_;
  for (const ClaimAction& action : aActions) {
    if (const auto* append = std::get_if<AppendClaims>(&action)) {
      const std::uint64_t generation = append->generation_;
      log_.Append(
        stream_, append->record_, [this, alive, generation](const platform::AppendResult& aResult) {
          if (!alive.expired()) {
            Perform(claims_.OnAppended(generation, aResult, common::Now(), common::WallClockMs()));
          }
        });
    } else if (const auto* read = std::get_if<ReadClaims>(&action)) {
      const std::uint64_t generation = read->generation_;
      log_.Read(stream_,
                read->fromOffset_,
                read->wait_,
                [this, alive, generation](const platform::ReadResult& aResult) {
                  if (!alive.expired()) {
                    Perform(
                      claims_.OnRead(generation, aResult, common::Now(), common::WallClockMs()));
                  }
                });
    } else {
      onDecision_(action);
    }
  }
}

} // namespace dandelionstand::caller
