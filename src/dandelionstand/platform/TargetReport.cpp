#include "dandelionstand/platform/TargetReport.h"

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/platform/PlatformJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace dandelionstand::platform {

namespace {

using nlohmann::json;

constexpr const char* kSource = "heartbeat";
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::size_t kMaxIdBytes = 255;
constexpr std::uint64_t kMaxSlots = 100'000;
//! A sequence number is used about once a second.
constexpr std::uint64_t kMaxSequence = 10'000'000'000;
//! End of the year 9999, in ms since the epoch.
constexpr std::uint64_t kMaxStartTimeMs = 253'402'300'799'999;
constexpr double kMaxColdStartSeconds = 86'400;

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

  std::uint64_t ReadUnsigned(const char* aName, std::uint64_t aMax)
  {
    const bool isValid = body_.contains(aName) && body_[aName].is_number_unsigned() &&
                         body_[aName].get<std::uint64_t>() <= aMax;
    if (!isValid) {
      AddFinding(aName, "must be a whole number from 0 to " + std::to_string(aMax));
      return 0;
    }
    return body_[aName].get<std::uint64_t>();
  }

  //! Reads a number of seconds; an absent field is 0.
  common::Duration ReadSeconds(const char* aName, double aMax)
  {
    if (!body_.contains(aName)) {
      return {};
    }
    const json& value = body_[aName];
    if (!value.is_number() || !(value.get<double>() >= 0) || value.get<double>() > aMax) {
      AddFinding(aName, "must be a number from 0 to " + std::to_string(aMax));
      return {};
    }
    return common::Duration(std::llround(value.get<double>() * kMicrosecondsPerSecond));
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

void CheckTargetId(std::string_view aId, common::Findings& aFindings)
{
  const auto isVisible = [](char aCharacter) { return aCharacter > ' ' && aCharacter <= '~'; };
  if (aId.empty() || aId.size() > kMaxIdBytes || !std::all_of(aId.begin(), aId.end(), isVisible)) {
    aFindings.Add({ kSource, 0, "id" },
                  "must be 1 to " + std::to_string(kMaxIdBytes) +
                    " visible ASCII characters, has " + std::to_string(aId.size()) + " bytes");
  }
}

std::optional<target::TargetAnnouncement> DecodeHeartbeat(const std::string& aId,
                                                          const std::string& aBody,
                                                          common::Findings& aFindings)
{
  const json body = ParseJson(aBody);
  if (!body.is_object()) {
    aFindings.Add({ kSource, 0, "" }, "must be a JSON object");
    return std::nullopt;
  }
  BodyReader reader(body, aFindings);
  target::TargetAnnouncement announcement;
  announcement.incarnationId_ = aId;
  announcement.service_ = common::ServiceName(reader.ReadString("service"));
  announcement.address_ = common::Address(reader.ReadString("address"));
  announcement.slots_ = static_cast<std::uint32_t>(reader.ReadUnsigned("slots", kMaxSlots));
  announcement.sequence_ = reader.ReadUnsigned("sequence", kMaxSequence);
  announcement.phase_ = DecodePhase(reader);
  if (body.contains("born")) {
    announcement.startedAtMs_ = reader.ReadUnsigned("born", kMaxStartTimeMs);
  }
  announcement.remainingColdStart_ = reader.ReadSeconds("cold-remaining-s", kMaxColdStartSeconds);
  if (!common::ParseRemoteAddress(announcement.address_.Get())) {
    reader.Report("address", "must be an IPv4 address with a port from 1 to 65535");
  }
  if (announcement.slots_ == 0) {
    reader.Report("slots", "must be at least 1");
  }
  return aFindings.IsEmpty() ? std::optional(announcement) : std::nullopt;
}

target::TargetAnnouncement DecodeLeave(const std::string& aId, const std::string& aBody)
{
  target::TargetAnnouncement announcement;
  announcement.incarnationId_ = aId;
  announcement.phase_ = target::TargetPhase::kGone;
  const json body = ParseJson(aBody);
  if (body.is_object() && body.contains("born") && body["born"].is_number_unsigned() &&
      body["born"].get<std::uint64_t>() <= kMaxStartTimeMs) {
    announcement.startedAtMs_ = body["born"].get<std::uint64_t>();
  }
  return announcement;
}

} // namespace dandelionstand::platform
