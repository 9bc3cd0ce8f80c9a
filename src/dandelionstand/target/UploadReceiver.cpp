#include "dandelionstand/target/UploadReceiver.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::target {

namespace {

//! Share of the link's bandwidth that bodies may use; the rest is left to small messages.
constexpr double kUsableBandwidth = 0.85;
//! Limit of all bodies that are expected at one time, unless it is a single one. The smallest
//! instances of the users' sites have 160 MB of memory.
constexpr std::size_t kMaxPendingBytes = 16UL * 1024 * 1024;
//! Weight of the newest body in the moving average of a route's body sizes.
constexpr double kBodySizeWeight = 0.1;

std::optional<std::uint64_t> UsableBandwidth(std::optional<std::uint64_t> aBytesPerSecond)
{
  if (!aBytesPerSecond) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(static_cast<double>(*aBytesPerSecond) * kUsableBandwidth);
}

} // namespace

UploadReceiver::UploadReceiver(common::Counters& aCounters,
                               peer::Transport& aTransport,
                               const EgressSettings& aLink,
                               CompleteHandler aOnComplete,
                               RefuseHandler aOnRefused)
  : counters_(aCounters)
  , transport_(aTransport)
  , instance_(aLink.instance_)
  , onComplete_(std::move(aOnComplete))
  , onRefused_(std::move(aOnRefused))
  , queue_(UsableBandwidth(aLink.bytesPerSecond_))
{
}

void UploadReceiver::Start(Upload aUpload, common::TimePoint aNow)
{
  counters_.Add("target_uploads_total");
  const AttemptKey key = aUpload.work_.key_;
  const std::size_t bytes = aUpload.start_.deferred_body_bytes();
  const auto size = static_cast<double>(bytes);
  const auto [usual, isNew] = usualBytes_.try_emplace(aUpload.start_.route(), size);
  usual->second += isNew ? 0.0 : kBodySizeWeight * (size - usual->second);
  const std::size_t maxBytes =
    pendingBytes_ == 0 ? std::max(maxBodyBytes_, kMaxPendingBytes) : kMaxPendingBytes;
  if (pendingBytes_ + bytes > maxBytes) {
    onRefused_(aUpload, "body-memory");
    return;
  }
  pendingBytes_ += bytes;
  IncomingBody body(bytes, aUpload.start_.body_checksum());
  pending_.emplace(key, Pending{ std::move(aUpload), std::move(body) });
  QueueOf(key).Add(key, bytes, aNow);
  RequestBodies(aNow);
}

void UploadReceiver::OnBody(const AttemptKey& aKey,
                            const peer::wire::CallBody& aBody,
                            common::TimePoint aNow)
{
  const auto found = pending_.find(aKey);
  if (found == pending_.end()) {
    counters_.Add("target_upload_pieces_dropped_total");
    return;
  }
  QueueOf(aKey).OnReceived(aKey, aBody.data().size(), aNow);
  switch (found->second.body_.Add(aBody.offset(), aBody.data())) {
    case IncomingBody::State::kIncomplete:
      break;
    case IncomingBody::State::kBroken:
      Refuse(aKey, "broken-body");
      break;
    case IncomingBody::State::kComplete: {
      Upload upload = std::move(found->second.upload_);
      upload.start_.set_body(found->second.body_.Release());
      Cancel(aKey);
      onComplete_(std::move(upload));
      break;
    }
  }
  RequestBodies(aNow);
}

bool UploadReceiver::Cancel(const AttemptKey& aKey)
{
  const auto found = pending_.find(aKey);
  if (found == pending_.end()) {
    return false;
  }
  pendingBytes_ -= found->second.body_.ExpectedBytes();
  QueueOf(aKey).Remove(aKey);
  pending_.erase(found);
  return true;
}

void UploadReceiver::Tick(const AdmissionQueue& aQueue, common::TimePoint aNow)
{
  std::vector<std::pair<AttemptKey, RefusalReason>> refused;
  for (const auto& [key, pending] : pending_) {
    // Its transfer has begun, so it is not sent to another endpoint only to be earlier.
    Work work = pending.upload_.work_;
    work.mayMissObjective_ = true;
    const std::optional<RefusalReason> reason = aQueue.PredictRefusal(work, aNow, aNow);
    if (reason && *reason != RefusalReason::kQueueFull) {
      refused.emplace_back(key, *reason);
    }
  }
  for (const auto& [key, reason] : refused) {
    Refuse(key, ToText(reason));
  }
  RequestBodies(aNow);
}

common::Duration UploadReceiver::UsualTimeToReceive(const std::string& aRoute) const
{
  const auto usual = usualBytes_.find(aRoute);
  return usual == usualBytes_.end() ? common::Duration(0)
                                    : queue_.TimeToReceive(static_cast<std::size_t>(usual->second));
}

IngressQueue& UploadReceiver::QueueOf(const AttemptKey& aKey)
{
  return aKey.callerInstance_ == instance_ ? localQueue_ : queue_;
}

void UploadReceiver::RequestBodies(common::TimePoint aNow)
{
  for (IngressQueue* queue : { &queue_, &localQueue_ }) {
    for (const IngressQueue::Grant& grant : queue->TakeGrants(aNow)) {
      RequestBody(pending_.at(grant.key_), grant.bytes_);
    }
  }
}

void UploadReceiver::RequestBody(const Pending& aPending, std::size_t aBytes)
{
  const AttemptKey& key = aPending.upload_.work_.key_;
  peer::wire::Envelope envelope;
  peer::wire::CallBodyRequest& request = *envelope.mutable_call_body_request();
  request.set_request_id(key.requestId_.Get());
  request.set_attempt(key.attempt_);
  request.set_caller_incarnation(key.callerIncarnation_.Get());
  request.set_bytes(static_cast<std::uint32_t>(aBytes));
  transport_.Send(aPending.upload_.callerDaemon_, envelope);
}

void UploadReceiver::Refuse(const AttemptKey& aKey, std::string_view aReason)
{
  const Upload upload = std::move(pending_.at(aKey).upload_);
  Cancel(aKey);
  onRefused_(upload, aReason);
}

} // namespace dandelionstand::target
