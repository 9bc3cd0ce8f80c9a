#include "dandelionstand/operators/AdminClient.h"

#include <utility>

namespace dandelionstand::operators {

namespace {

constexpr int kStatusOk = 200;
constexpr std::size_t kMaxBodyBytes = 67'108'864;

} // namespace

AdminClient::AdminClient(const common::Address& aDaemon, common::Duration aTimeout)
  : client_(loop_, { .address_ = aDaemon, .maxBodyBytes_ = kMaxBodyBytes })
  , timeout_(aTimeout)
{
}

std::optional<std::string> AdminClient::Get(const std::string& aPath)
{
  return SendAndWait({ .method_ = platform::HttpMethod::kGet, .target_ = aPath });
}

std::optional<std::string> AdminClient::Post(const std::string& aPath, const std::string& aBody)
{
  return SendAndWait({ .method_ = platform::HttpMethod::kPost, .target_ = aPath, .body_ = aBody });
}

std::optional<std::string> AdminClient::SendAndWait(platform::HttpRequest aRequest)
{
  std::optional<std::string> body;
  aRequest.timeout_ = timeout_;
  client_.Send(std::move(aRequest), [this, &body](const platform::HttpResponse& aAnswer) {
    if (aAnswer.outcome_ != platform::HttpOutcome::kAnswered) {
      error_ = aAnswer.outcome_ == platform::HttpOutcome::kTimedOut
                 ? "the daemon did not answer in time"
                 : "no connection to the daemon";
    } else if (aAnswer.status_ != kStatusOk) {
      error_ =
        "the daemon answered with status " + std::to_string(aAnswer.status_) + ": " + aAnswer.body_;
    } else {
      body = aAnswer.body_;
    }
    loop_.Stop();
  });
  loop_.Run();
  return body;
}

} // namespace dandelionstand::operators
