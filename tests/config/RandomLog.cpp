#include "RandomLog.h"

#include "ConfigFixtures.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::tests {

using namespace config;

namespace {

constexpr std::size_t kNameCount = 4;

class RandomLogWriter
{
public:
  RandomLogWriter(RandomLog& aLog, std::uint64_t aSeed)
    : log_(aLog)
    , random_(aSeed)
  {
    Append(EncodePublishRecord(ShopRecord()));
  }

  void AppendRandomRecord()
  {
    switch (RandomIndex(10)) {
      case 0:
        return Append(std::string(RandomIndex(40), 'x'));
      case 1:
        return Append(log_.records_[RandomIndex(log_.records_.size())].data_);
      case 2:
        return Append(EncodeSnapshot(*replica_.State(), replica_.AppliedOffset()));
      default:
        return Append(EncodePublishRecord(RandomPublishRecord()));
    }
  }

private:
  std::size_t RandomIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
  }

  void Append(std::string aData)
  {
    const common::Offset previous(log_.records_.size());
    log_.records_.push_back({ common::Offset(previous.Get() + 1), std::move(aData) });
    replica_.OnRecord(previous, log_.records_.back());
    log_.states_.push_back(replica_.State());
  }

  //! A record based on one of the last three states, so that some records conflict.
  PublishRecord RandomPublishRecord()
  {
    const std::size_t back = RandomIndex(std::min<std::size_t>(3, log_.states_.size()));
    const ConfigState& baseState = *log_.states_[log_.states_.size() - 1 - back];
    PublishRecord record{
      PublishId("p" + std::to_string(log_.records_.size())), "operator", {}, baseState.version_, 0
    };
    const std::string name = "r" + std::to_string(RandomIndex(kNameCount));
    AddRandomChange(baseState,
                    { ResourceKind::kLimits, name },
                    Limits{ 1 + std::uint32_t(RandomIndex(9)) },
                    record);
    AddRandomChange(
      baseState, { ResourceKind::kEndpoints, name }, Endpoints{ LimitsName(name) }, record);
    AddRandomChange(baseState, { ResourceKind::kRoute, name }, RouteTo(name), record);
    return record;
  }

  Route RouteTo(const std::string& aName)
  {
    Route route = DanglingRoute();
    route.pathPrefix_ = "/" + aName;
    route.endpoints_ = common::ServiceName("r" + std::to_string(RandomIndex(kNameCount)));
    return route;
  }

  void AddRandomChange(const ConfigState& aBase,
                       const ResourceKey& aKey,
                       ResourceValue aValue,
                       PublishRecord& aRecord)
  {
    const auto existing = aBase.Find(aKey);
    const std::size_t action = RandomIndex(4);
    if (action == 0) {
      return;
    }
    if (action == 1 && existing) {
      aRecord.changes_.push_back({ aKey, existing->version_, std::nullopt });
      return;
    }
    const common::Version base = existing ? existing->version_ : common::Version(0);
    aRecord.changes_.push_back({ aKey, base, std::move(aValue) });
  }

  RandomLog& log_;
  std::mt19937_64 random_;
  Replica replica_;
};

} // namespace

RandomLog MakeRandomLog(std::uint64_t aSeed, std::size_t aLength)
{
  RandomLog log;
  RandomLogWriter writer(log, aSeed);
  while (log.records_.size() < aLength) {
    writer.AppendRandomRecord();
  }
  return log;
}

void ApplyRecords(Replica& aReplica, const RandomLog& aLog, std::size_t aBegin, std::size_t aEnd)
{
  for (std::size_t index = aBegin; index < aEnd; ++index) {
    aReplica.OnRecord(common::Offset(index), aLog.records_[index]);
  }
}

bool AreReferencesResolved(const ConfigState& aState)
{
  for (const auto& [name, endpoints] : aState.endpoints_) {
    if (!aState.limits_.contains(endpoints.value_.limits_)) {
      return false;
    }
  }
  for (const auto& [name, route] : aState.routes_) {
    if (!aState.endpoints_.contains(route.value_.endpoints_)) {
      return false;
    }
  }
  return true;
}

} // namespace dandelionstand::tests
