#include "tests/support/Net.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/platform/HttpClient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

namespace {

constexpr std::uint16_t kMinPort = 10'000;
constexpr std::uint16_t kMaxPort = 32'000;
constexpr int kMaxPortAttempts = 1'000;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 256 } * 1024 * 1024;

bool IsFree(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) != 1) {
    throw std::invalid_argument("not an IPv4 address: " + aIp);
  }
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool isFree =
    bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return isFree;
}

HttpReply SendAndWait(const common::Address& aAddress,
                      platform::HttpRequest aRequest,
                      const RequestOptions& aOptions)
{
  common::EventLoop loop;
  platform::HttpClient client(
    loop,
    { .address_ = aAddress, .sourceAddress_ = aOptions.sourceIp_, .maxBodyBytes_ = kMaxBodyBytes });
  aRequest.headers_ = aOptions.headers_;
  aRequest.timeout_ = aOptions.timeout_;
  HttpReply reply;
  client.Send(std::move(aRequest), [&](const platform::HttpResponse& aAnswer) {
    if (aAnswer.outcome_ == platform::HttpOutcome::kAnswered) {
      reply = { aAnswer.status_, aAnswer.headers_, aAnswer.body_ };
    }
    loop.Stop();
  });
  loop.Run();
  return reply;
}

void RequireOk(const HttpReply& aReply,
               const common::Address& aAddress,
               const std::string& aPathAndQuery)
{
  if (aReply.status_ != 200) {
    throw std::runtime_error("http://" + aAddress.Get() + aPathAndQuery + " answered " +
                             std::to_string(aReply.status_) + ": " + aReply.body_);
  }
}

} // namespace

common::Address FreeAddress(const std::string& aIp)
{
  // Test processes run in parallel and must pick different ports, so the seed is random.
  static std::mt19937_64 random(std::random_device{}());
  std::uniform_int_distribution<std::uint16_t> ports(kMinPort, kMaxPort);
  // A caller binds its port later, so a port that is free now may already be assigned.
  static std::set<std::uint16_t> assignedPorts;
  for (int attempt = 0; attempt < kMaxPortAttempts; ++attempt) {
    const std::uint16_t port = ports(random);
    if (!assignedPorts.contains(port) && IsFree(aIp, port)) {
      assignedPorts.insert(port);
      return common::Address(aIp + ":" + std::to_string(port));
    }
  }
  throw std::runtime_error("no free port on " + aIp);
}

std::string HttpReply::Header(const std::string& aLowerCaseName) const
{
  const auto found = headers_.find(aLowerCaseName);
  return found == headers_.end() ? "" : found->second;
}

nlohmann::json HttpReply::Json() const
{
  return nlohmann::json::parse(body_);
}

HttpReply HttpGet(const common::Address& aAddress,
                  const std::string& aPathAndQuery,
                  const RequestOptions& aOptions)
{
  platform::HttpRequest request;
  request.target_ = aPathAndQuery;
  return SendAndWait(aAddress, std::move(request), aOptions);
}

HttpReply HttpPost(const common::Address& aAddress,
                   const std::string& aPathAndQuery,
                   const std::string& aBody,
                   const RequestOptions& aOptions)
{
  platform::HttpRequest request;
  request.method_ = platform::HttpMethod::kPost;
  request.target_ = aPathAndQuery;
  request.body_ = aBody;
  return SendAndWait(aAddress, std::move(request), aOptions);
}

void PostJson(const common::Address& aAddress,
              const std::string& aPathAndQuery,
              const nlohmann::json& aBody)
{
  RequireOk(HttpPost(aAddress, aPathAndQuery, aBody.dump()), aAddress, aPathAndQuery);
}

nlohmann::json GetJson(const common::Address& aAddress, const std::string& aPathAndQuery)
{
  const HttpReply reply = HttpGet(aAddress, aPathAndQuery);
  RequireOk(reply, aAddress, aPathAndQuery);
  return reply.Json();
}

std::uint64_t ParseMetric(const std::string& aMetricsText, const std::string& aName)
{
  std::istringstream lines(aMetricsText);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(aName + " ")) {
      return std::stoull(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

} // namespace dandelionstand::tests
