#include "dandelionstand/platform/ConfigDocument.h"

#include "dandelionstand/organisations/OrganisationTable.h"
#include "dandelionstand/platform/PlatformJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <memory>
#include <optional>

namespace dandelionstand::platform {

namespace {

using nlohmann::json;

constexpr const char* kSource = "configuration document";
constexpr int kHexBase = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
//! A year.
constexpr double kMaxSeconds = 365.0 * 24 * 60 * 60;
//! Of connections, attempts, ranks and weights; each fits into 32 bits.
constexpr double kMaxCount = 1e9;
constexpr double kMaxBytes = 1e15;
//! Bodies are kept in memory, so a greater max-body-bytes has the effect of this one.
constexpr double kMaxBodyBytes = 64.0 * 1024 * 1024;
//! Weights of a traffic split are kept as whole numbers of this fraction.
constexpr double kWeightsPerUnit = 1e6;

//! One row of a table, keyed by column name.
using Row = std::map<std::string, const json*>;

//! Reads the values of a row. A value of the wrong type is reported as a finding.
class RowReader
{
public:
  RowReader(Row aRow, std::string aPlace, common::Findings& aFindings)
    : row_(std::move(aRow))
    , place_(std::move(aPlace))
    , findings_(aFindings)
  {
  }

  std::string ReadString(const char* aName)
  {
    const json* value = Find(aName);
    if (value == nullptr || !value->is_string()) {
      Report(aName, "must be a string");
      return "";
    }
    return value->get<std::string>();
  }

  double ReadNumber(const char* aName, double aDefault, double aMax)
  {
    const json* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || !(value->get<double>() >= 0) || value->get<double>() > aMax) {
      Report(aName, "must be a number from 0 to " + std::to_string(aMax));
      return aDefault;
    }
    return value->get<double>();
  }

  common::Duration ReadSeconds(const char* aName, common::Duration aDefault)
  {
    const double defaultSeconds = static_cast<double>(aDefault.count()) / kMicrosecondsPerSecond;
    return common::Duration(
      std::llround(ReadNumber(aName, defaultSeconds, kMaxSeconds) * kMicrosecondsPerSecond));
  }

  //! False if the value is absent or a JSON null.
  bool ReadFlag(const char* aName)
  {
    const json* value = Find(aName);
    if (value != nullptr && !value->is_boolean()) {
      Report(aName, "must be true or false");
    }
    return value != nullptr && value->is_boolean() && value->get<bool>();
  }

  //! Returns null if the value is absent or a JSON null.
  const json* Find(const char* aName) const
  {
    const auto found = row_.find(aName);
    return found == row_.end() || found->second->is_null() ? nullptr : found->second;
  }

  void Report(const char* aName, const std::string& aMessage)
  {
    findings_.Add({ kSource, 0, place_ + "/" + aName }, aMessage);
  }

private:
  Row row_;
  std::string place_;
  common::Findings& findings_;
};

//! Calls aCallback for each row of a table. A table has a list of column names and a list of rows;
//! the values of a row are in the order of the columns.
template<typename Callback>
void ForEachRow(const json& aDocument,
                const char* aTable,
                common::Findings& aFindings,
                Callback aCallback)
{
  const json table = aDocument.value(aTable, json::object());
  const json columns = table.is_object() ? table.value("columns", json::array()) : json::array();
  const json rows = table.is_object() ? table.value("rows", json::array()) : json::array();
  if (!columns.is_array() || columns.empty() || !rows.is_array()) {
    aFindings.Add({ kSource, 0, std::string("/") + aTable },
                  "must be an object with columns and rows");
    return;
  }
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const std::string place = std::string("/") + aTable + "/rows/" + std::to_string(index);
    if (!rows[index].is_array() || rows[index].size() > columns.size()) {
      aFindings.Add({ kSource, 0, place }, "must be a list with at most one value for each column");
      continue;
    }
    Row row;
    for (std::size_t column = 0; column < rows[index].size(); ++column) {
      row[columns[column].is_string() ? columns[column].get<std::string>() : ""] =
        &rows[index][column];
    }
    aCallback(RowReader(std::move(row), place, aFindings));
  }
}

std::optional<common::Version> DecodeVersion(const json& aDocument)
{
  if (!aDocument.contains("version") || !aDocument["version"].is_string()) {
    return std::nullopt;
  }
  const std::string text = aDocument["version"].get<std::string>();
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number, kHexBase);
  if (result.ec != std::errc() || result.ptr != end || text.empty()) {
    return std::nullopt;
  }
  return common::Version(number);
}

//! Derives the idempotency and traffic class of a route's requests from its kind.
void DecodeRouteKind(RowReader& aRow, config::Route& aRoute)
{
  const std::string kind = aRow.ReadString("kind");
  if (kind == "safe") {
    aRoute.idempotency_ = config::Idempotency::kIdempotent;
    aRoute.trafficClass_ = config::TrafficClass::kBrowse;
  } else if (kind == "download") {
    aRoute.idempotency_ = config::Idempotency::kIdempotent;
    aRoute.trafficClass_ = config::TrafficClass::kDownload;
  } else {
    // Requests of "unsafe" and unknown kinds may have side effects, so they are never retried.
    aRoute.idempotency_ = config::Idempotency::kOnce;
    aRoute.trafficClass_ = config::TrafficClass::kOrder;
  }
}

//! A positive weight stays positive.
std::uint64_t ToWholeWeight(double aWeight)
{
  return static_cast<std::uint64_t>(std::ceil(aWeight * kWeightsPerUnit));
}

std::vector<config::SplitPart> DecodeTrafficSplit(RowReader& aRow)
{
  std::vector<config::SplitPart> parts;
  const json* split = aRow.Find("traffic-split");
  if (split == nullptr) {
    return parts;
  }
  for (const json& part : *split) {
    const bool isValid = part.is_object() && part.contains("service") &&
                         part["service"].is_string() && part.contains("weight") &&
                         part["weight"].is_number() && part["weight"].get<double>() >= 0 &&
                         part["weight"].get<double>() <= kMaxCount;
    if (!isValid) {
      aRow.Report("traffic-split",
                  "must be a list of objects with a service and a weight from 0 to " +
                    std::to_string(kMaxCount));
      return {};
    }
    parts.push_back({ common::ServiceName(part["service"].get<std::string>()),
                      ToWholeWeight(part["weight"].get<double>()) });
  }
  return parts;
}

config::Route DecodeRoute(RowReader& aRow)
{
  config::Route route;
  route.host_ = aRow.ReadString("host");
  route.pathPrefix_ = aRow.ReadString("path-prefix");
  DecodeRouteKind(aRow, route);
  route.timeout_ = aRow.ReadSeconds("timeout-s", route.timeout_);
  route.objective_ = aRow.ReadSeconds("target-latency-s", route.objective_);
  route.priority_ = static_cast<std::uint32_t>(aRow.ReadNumber("priority", 0, kMaxCount));
  route.attempts_ = static_cast<std::uint32_t>(aRow.ReadNumber("max-attempts", 1, kMaxCount));
  route.isPublic_ = aRow.ReadFlag("public");
  route.split_ = DecodeTrafficSplit(aRow);
  if (route.split_.empty()) {
    route.endpoints_ = common::ServiceName(aRow.ReadString("service"));
  }
  return route;
}

//! Reads the keys of an organisation. Findings do not show them.
std::vector<std::string> DecodeKeys(RowReader& aRow)
{
  std::vector<std::string> keys;
  const json* values = aRow.Find("api-keys");
  if (values == nullptr) {
    return keys;
  }
  const bool isList =
    values->is_array() &&
    std::all_of(values->begin(), values->end(), [](const json& aKey) { return aKey.is_string(); });
  if (!isList) {
    aRow.Report("api-keys", "must be a list of strings");
    return keys;
  }
  for (const json& key : *values) {
    keys.push_back(key.get<std::string>());
  }
  return keys;
}

//! Returns null if the document names no organisations: then callers need no key.
std::shared_ptr<const organisations::OrganisationTable> DecodeOrganisations(
  const json& aDocument,
  common::Findings& aFindings)
{
  constexpr const char* kTable = "tenants";
  if (!aDocument.contains(kTable) || aDocument[kTable].is_null()) {
    return nullptr;
  }
  auto table = std::make_shared<organisations::OrganisationTable>();
  ForEachRow(aDocument, kTable, aFindings, [&](RowReader aRow) {
    organisations::Organisation organisation;
    organisation.name_ = common::OrganisationName(aRow.ReadString("name"));
    if (aRow.Find("priority") != nullptr) {
      organisation.priority_ =
        static_cast<std::uint32_t>(aRow.ReadNumber("priority", 0, kMaxCount));
    }
    organisation.ratePerSecond_ = aRow.ReadNumber("rate-per-s", 0, kMaxCount);
    organisation.burst_ = aRow.ReadNumber("burst", 0, kMaxCount);
    const std::string fault = table->Add(std::move(organisation), DecodeKeys(aRow));
    if (!fault.empty()) {
      aRow.Report("name", fault);
    }
  });
  return table;
}

std::optional<config::ClientLimits> DecodeClientLimits(const json& aDocument,
                                                       common::Findings& aFindings)
{
  if (!aDocument.contains("limits") || !aDocument["limits"].is_object()) {
    return std::nullopt;
  }
  Row row;
  for (const auto& [name, value] : aDocument["limits"].items()) {
    row[name] = &value;
  }
  RowReader reader(std::move(row), "/limits", aFindings);
  config::ClientLimits limits;
  limits.headBytes_ = static_cast<std::uint64_t>(
    reader.ReadNumber("max-header-bytes", static_cast<double>(limits.headBytes_), kMaxBytes));
  limits.bodyBytes_ = static_cast<std::uint64_t>(std::min(
    kMaxBodyBytes,
    reader.ReadNumber("max-body-bytes", static_cast<double>(limits.bodyBytes_), kMaxBytes)));
  limits.headTime_ = reader.ReadSeconds("header-timeout-s", limits.headTime_);
  limits.idleTime_ = reader.ReadSeconds("idle-timeout-s", limits.idleTime_);
  return limits;
}

} // namespace

config::ConfigStatePtr DecodeConfigDocument(const std::string& aText, common::Findings& aFindings)
{
  const json document = ParseJson(aText);
  if (!document.is_object()) {
    aFindings.Add({ kSource, 0, "" }, "must be a JSON object");
    return nullptr;
  }
  const std::optional<common::Version> version = DecodeVersion(document);
  if (!version) {
    aFindings.Add({ kSource, 0, "/version" }, "must be a string with a hexadecimal number");
    return nullptr;
  }
  config::ConfigState state;
  state.version_ = *version;
  ForEachRow(document, "services", aFindings, [&](RowReader aRow) {
    const std::string name = aRow.ReadString("name");
    // The document only limits connections; targets report their slots in heartbeats.
    config::Limits limits;
    limits.connections_ = static_cast<std::uint32_t>(
      aRow.ReadNumber("connection-limit", limits.connections_, kMaxCount));
    state.limits_[config::LimitsName(name)] = { limits, *version };
    state.endpoints_[common::ServiceName(name)] = { { config::LimitsName(name) }, *version };
  });
  ForEachRow(document, "routes", aFindings, [&](RowReader aRow) {
    const config::RouteName name(aRow.ReadString("name"));
    state.routes_[name] = { DecodeRoute(aRow), *version };
  });
  state.clientLimits_ = DecodeClientLimits(document, aFindings);
  state.organisations_ = DecodeOrganisations(document, aFindings);
  if (!aFindings.IsEmpty()) {
    return nullptr;
  }
  return std::make_shared<const config::ConfigState>(std::move(state));
}

} // namespace dandelionstand::platform
