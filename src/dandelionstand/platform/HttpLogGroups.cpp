#include "dandelionstand/platform/HttpLog.h"
#include "dandelionstand/platform/PlatformJson.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <utility>

namespace dandelionstand::platform {

namespace {

//! The partition of a row [topic, partition, ...]; nullopt if the row is malformed.
std::optional<std::uint32_t> PartitionOf(const nlohmann::json& aRow)
{
  const bool isValid = aRow.is_array() && aRow.size() >= 2 && aRow[1].is_number_unsigned() &&
                       aRow[1].get<std::uint64_t>() <= std::numeric_limits<std::uint16_t>::max();
  return isValid ? std::optional(aRow[1].get<std::uint32_t>()) : std::nullopt;
}

GroupJoinResult ParseJoin(const std::string& aBody)
{
  GroupJoinResult result;
  const nlohmann::json body = ParseJson(aBody);
  const bool isValid = body.is_object() && body.contains("generation") &&
                       body["generation"].is_number_unsigned() && body.contains("parts") &&
                       body["parts"].is_array();
  if (!isValid) {
    return result;
  }
  result.generation_ = body["generation"].get<std::uint64_t>();
  for (const nlohmann::json& row : body["parts"]) {
    const auto partition = PartitionOf(row);
    if (!partition) {
      return {};
    }
    result.partitions_.push_back(*partition);
  }
  result.status_ = LogStatus::kOk;
  return result;
}

//! The rows stand alone or as the first list of an object.
GroupOwnersResult ParseOwners(const std::string& aBody)
{
  GroupOwnersResult result;
  nlohmann::json rows = ParseJson(aBody);
  if (rows.is_object()) {
    for (const auto& entry : rows.items()) {
      if (entry.value().is_array()) {
        rows = nlohmann::json(entry.value());
        break;
      }
    }
  }
  if (!rows.is_array()) {
    return result;
  }
  for (const nlohmann::json& row : rows) {
    const auto partition = PartitionOf(row);
    const bool isOwned = row.is_array() && row.size() >= 3 && row[2].is_string();
    const bool isFree = row.is_array() && row.size() >= 3 && row[2].is_null();
    if (!partition || !(isOwned || isFree)) {
      return {};
    }
    result.owners_.push_back({ *partition, isOwned ? row[2].get<std::string>() : "" });
  }
  result.status_ = LogStatus::kOk;
  return result;
}

} // namespace

LogGroups::~LogGroups() = default;

void HttpLog::JoinGroup(const GroupJoin& aJoin, common::Duration aTimeout, JoinCallback aCallback)
{
  HttpRequest request;
  request.method_ = HttpMethod::kPost;
  request.target_ = "/dandelionstand/log-join";
  request.headers_["Content-Type"] = "application/json";
  request.body_ = nlohmann::json{
    { "group", aJoin.group_ },
    { "member", aJoin.member_ },
    { "topics", { aJoin.topic_ } },
    { "ttl-s", std::chrono::duration<double>(aJoin.timeToLive_).count() },
    { "generation", aJoin.generation_ }
  }.dump();
  request.timeout_ = aTimeout;
  client_.Send(std::move(request),
               [this, callback = std::move(aCallback)](const HttpResponse& aResponse) {
                 GroupJoinResult result;
                 result.status_ = ToLogStatus(aResponse);
                 if (result.status_ == LogStatus::kOk) {
                   result = ParseJoin(aResponse.body_);
                 }
                 CountRequest("log_joins_total", result.status_);
                 callback(result);
               });
}

void HttpLog::ReadOwners(const std::string& aGroup, OwnersCallback aCallback)
{
  HttpRequest request;
  request.target_ = "/dandelionstand/log-owners?group=" + aGroup;
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request),
               [this, callback = std::move(aCallback)](const HttpResponse& aResponse) {
                 GroupOwnersResult result;
                 result.status_ = ToLogStatus(aResponse);
                 if (result.status_ == LogStatus::kOk) {
                   result = ParseOwners(aResponse.body_);
                 }
                 CountRequest("log_owner_reads_total", result.status_);
                 callback(result);
               });
}

} // namespace dandelionstand::platform
