#include "dandelionstand/load/Fetch.h"

#include "dandelionstand/platform/HttpClient.h"

#include <memory>

namespace dandelionstand::load {

namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxBodyBytes = 16'777'216;

} // namespace

std::vector<std::optional<std::string>> FetchAll(common::EventLoop& aLoop,
                                                 const std::vector<common::Address>& aAddresses,
                                                 const std::string& aPath,
                                                 common::Duration aTimeout)
{
  std::vector<std::optional<std::string>> bodies(aAddresses.size());
  std::vector<std::unique_ptr<platform::HttpClient>> clients;
  std::size_t pendingCount = aAddresses.size();
  for (std::size_t index = 0; index < aAddresses.size(); ++index) {
    clients.push_back(std::make_unique<platform::HttpClient>(
      aLoop,
      platform::HttpClientSettings{ .address_ = aAddresses[index],
                                    .maxBodyBytes_ = kMaxBodyBytes }));
    platform::HttpRequest request;
    request.target_ = aPath;
    request.timeout_ = aTimeout;
    clients.back()->Send(std::move(request), [&, index](const platform::HttpResponse& aResponse) {
      if (aResponse.outcome_ == platform::HttpOutcome::kAnswered && aResponse.status_ == kOk) {
        bodies[index] = aResponse.body_;
      }
      pendingCount -= 1;
      if (pendingCount == 0) {
        aLoop.Stop();
      }
    });
  }
  if (pendingCount > 0) {
    aLoop.Run();
  }
  return bodies;
}

bool Post(common::EventLoop& aLoop,
          const common::Address& aAddress,
          const std::string& aPath,
          const std::string& aBody,
          common::Duration aTimeout)
{
  platform::HttpClient client(aLoop, { .address_ = aAddress, .sourceAddress_ = "" });
  platform::HttpRequest request;
  request.method_ = platform::HttpMethod::kPost;
  request.target_ = aPath;
  request.body_ = aBody;
  request.timeout_ = aTimeout;
  bool isOk = false;
  client.Send(std::move(request), [&](const platform::HttpResponse& aResponse) {
    isOk = aResponse.outcome_ == platform::HttpOutcome::kAnswered && aResponse.status_ == kOk;
    aLoop.Stop();
  });
  aLoop.Run();
  return isOk;
}

void RunFor(common::EventLoop& aLoop, common::Duration aDuration)
{
  const auto timer = aLoop.After(aDuration, [&aLoop]() { aLoop.Stop(); });
  aLoop.Run();
}

} // namespace dandelionstand::load
