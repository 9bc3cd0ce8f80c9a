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

  std::string ReadString(const char* aName)
  {
    const bool isValid = body_.contains(aName) && body_[aName].is_string() &&
                         !body_[aName].get_ref<const std::string&>().empty();
    return isValid ? body_[aName].get<std::string>()
                   : AddFinding(aName, "must be a non-empty string");
  }

  std::uint64_t ReadUnsigned(const char* aName)
  {
    if (body_.contains(aName) && body_[aName].is_number_unsigned()) {
      return body_[aName].get<std::uint64_t>();
    }
    AddFinding(aName, "must be a non-negative integer");
    return 0;
  }

  void Report(const char* aName, const std::string& aMessage) { AddFinding(aName, aMessage); }

private:
  //! Returns the empty string, as the value of the field.
  std::string AddFinding(const char* aName, const std::string& aMessage)
  {
    findings_.Add({ kSource, 0, aName }, aMessage);
    return "";
  }

  const json& body_;
  common::Findings& findings_;
};

target::TargetPhase DecodePhase(BodyReader& aReader)
{
  const std::string state = aReader.ReadString("state");
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
  target::TargetAnnouncement announcement;
  announcement.startId_ = aId;
  announcement.service_ = common::ServiceName(reader.ReadString("service"));
  announcement.address_ = common::Address(reader.ReadString("address"));
  announcement.slots_ = static_cast<std::uint32_t>(reader.ReadUnsigned("slots"));
  announcement.sequence_ = reader.ReadUnsigned("sequence");
  announcement.phase_ = DecodePhase(reader);
  if (body.contains("born")) {
    announcement.bornMs_ = reader.ReadUnsigned("born");
  }
  const json coldRemaining = body.value("cold-remaining-s", json(0));
  if (coldRemaining.is_number() && coldRemaining.get<double>() >= 0) {
    announcement.coldLeft_ =
      common::Duration(std::llround(coldRemaining.get<double>() * kMicrosecondsPerSecond));
  } else {
    reader.Report("cold-remaining-s", "must be a non-negative number");
  }
  common::HostAndPort unused;
  if (!common::ParseAddress(announcement.address_.Get(), unused)) {
    reader.Report("address", "must be an IP address and a port");
  }
  if (announcement.slots_ == 0) {
    reader.Report("slots", "must be at least 1");
  }
  return aFindings.IsEmpty() ? std::optional(announcement) : std::nullopt;
}

target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody)
{
  target::TargetAnnouncement announcement;
  announcement.startId_ = aId;
  announcement.phase_ = target::TargetPhase::kGone;
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_object() && body.contains("born") && body["born"].is_number_unsigned()) {
    announcement.bornMs_ = body["born"].get<std::uint64_t>();
  }
  return announcement;
}

} // namespace dandelionstand::platform
