#include "ConfigFixtures.h"

#include "dandelionstand/config/Publish.h"

#include <stdexcept>

namespace dandelionstand::tests {

using namespace config;

namespace {

PublishRecord SingleChangeRecord(const ConfigState& aBase,
                                 const ResourceKey& aKey,
                                 ResourceValue aValue)
{
  const auto existing = aBase.Find(aKey);
  const common::Version base = existing ? existing->version_ : common::Version(0);
  const PublishId id("publish-" + aKey.name_);
  return { id, "operator", { { aKey, base, std::move(aValue) } }, aBase.version_, 0 };
}

} // namespace

ConfigState ShopState()
{
  ConfigState state;
  state.limits_[LimitsName("shop")].value_ = { 4, 20, 8, 10 };
  state.endpoints_[common::ServiceName("shop")].value_ = { LimitsName("shop") };
  state.routes_[RouteName("browse")].value_ = { "/",
                                                { "GET" },
                                                common::ServiceName("shop"),
                                                Idempotency::kIdempotent,
                                                TrafficClass::kBrowse,
                                                std::chrono::seconds(1),
                                                3 };
  return state;
}

PublishRecord ShopRecord()
{
  return {
    PublishId("publish-1"), "operator", ChangesBetween({}, ShopState()), common::Version(0), 0
  };
}

Route DanglingRoute()
{
  return { "/lost",
           { "GET" },
           common::ServiceName("nowhere"),
           Idempotency::kIdempotent,
           TrafficClass::kBrowse,
           std::chrono::seconds(1),
           3 };
}

PublishRecord SlotsRecord(const ConfigState& aBase, std::uint32_t aSlots)
{
  Limits limits = aBase.limits_.at(LimitsName("shop")).value_;
  limits.slots_ = aSlots;
  return SingleChangeRecord(aBase, { ResourceKind::kLimits, "shop" }, limits);
}

PublishRecord TimeoutRecord(const ConfigState& aBase, std::uint32_t aMilliseconds)
{
  Route route = aBase.routes_.at(RouteName("browse")).value_;
  route.timeout_ = std::chrono::milliseconds(aMilliseconds);
  return SingleChangeRecord(aBase, { ResourceKind::kRoute, "browse" }, route);
}

PublishRecord NewLimitsRecord(const ConfigState& aBase, const std::string& aName)
{
  return SingleChangeRecord(aBase, { ResourceKind::kLimits, aName }, Limits{});
}

PublishRecord NewLimitsRecord(const ConfigState& aBase,
                              const std::string& aName,
                              std::uint64_t aBuiltOn)
{
  PublishRecord record = NewLimitsRecord(aBase, aName);
  record.builtOn_ = common::Version(aBuiltOn);
  return record;
}

ConfigStatePtr Publish(const ConfigState& aBase,
                       std::uint64_t aOffset,
                       const PublishRecord& aRecord)
{
  const AcceptResult result = Accept(aBase, common::Offset(aOffset), EncodePublishRecord(aRecord));
  if (result.outcome_ != AcceptOutcome::kAccepted) {
    throw std::logic_error(result.findings_.ToString());
  }
  return result.nextState_;
}

} // namespace dandelionstand::tests
