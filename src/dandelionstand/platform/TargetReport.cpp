#include "dandelionstand/platform/TargetReport.h"

#include "dandelionstand/common/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace dandelionstand::platform {

namespace {

using nlohmann::json;

constexpr const char* kSource = "heartbeat";
constexpr double kMicrosecondsPerSecond = 1e6;

class BodyReader
{
public:
  BodyReader(const json& aBody, common::Findings& aFindings)
    : body_(aBody)
    , findings_(aFindings)
  {
  }

  std::string Text(const char* aName)
  {
    const bool isText = body_.contains(aName) && body_[aName].is_string() &&
                        !body_[aName].get_ref<const std::string&>().empty();
    return isText ? body_[aName].get<std::string>() : Missing(aName, "must be a text");
  }

  std::uint64_t WholeNumber(const char* aName)
  {
    if (body_.contains(aName) && body_[aName].is_number_unsigned()) {
      return body_[aName].get<std::uint64_t>();
    }
    Missing(aName, "must be a whole number that is not negative");
    return 0;
  }

  void Report(const char* aName, const std::string& aMessage) { Missing(aName, aMessage); }

private:
  std::string Missing(const char* aName, const std::string& aMessage)
  {
    findings_.Add({ kSource, 0, aName }, aMessage);
    return "";
  }

  const json& body_;
  common::Findings& findings_;
};

target::TargetPhase DecodePhase(BodyReader& aReader)
{
  const std::string state = aReader.Text("state");
  if (state == "draining") {
    return target::TargetPhase::kDraining;
  }
  if (state != "ready") {
    aReader.Report("state", "must be ready or draining");
  }
  return target::TargetPhase::kReady;
}

} // namespace

std::optional<target::TargetAnnouncement> DecodeHeartbeat(const std::string& aId,
                                                          const std::string& aBody,
                                                          common::Findings& aFindings)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    aFindings.Add({ kSource, 0, "" }, "must be a JSON object");
    return std::nullopt;
  }
  BodyReader reader(body, aFindings);
  target::TargetAnnouncement news;
  news.startId_ = aId;
  news.service_ = common::ServiceName(reader.Text("service"));
  news.address_ = common::Address(reader.Text("address"));
  news.slots_ = static_cast<std::uint32_t>(reader.WholeNumber("slots"));
  news.sequence_ = reader.WholeNumber("sequence");
  news.phase_ = DecodePhase(reader);
  if (body.contains("born")) {
    news.bornMs_ = reader.WholeNumber("born");
  }
  const json cold = body.value("cold-remaining-s", json(0));
  if (cold.is_number() && cold.get<double>() >= 0) {
    news.coldLeft_ = common::Duration(std::llround(cold.get<double>() * kMicrosecondsPerSecond));
  } else {
    reader.Report("cold-remaining-s", "must be a number that is not negative");
  }
  common::HostAndPort ignored;
  if (!common::ParseAddress(news.address_.Get(), ignored)) {
    reader.Report("address", "must be an IP number and a port");
  }
  if (news.slots_ == 0) {
    reader.Report("slots", "must be at least 1");
  }
  return aFindings.IsEmpty() ? std::optional(news) : std::nullopt;
}

target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody)
{
  target::TargetAnnouncement news;
  news.startId_ = aId;
  news.phase_ = target::TargetPhase::kGone;
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_object() && body.contains("born") && body["born"].is_number_unsigned()) {
    news.bornMs_ = body["born"].get<std::uint64_t>();
  }
  return news;
}

} // namespace dandelionstand::platform
