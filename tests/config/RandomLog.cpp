#include "RandomLog.h"

#include "ConfigFixtures.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::tests {

using namespace config;

namespace {

constexpr std::size_t kNames = 4;

class Writer
{
public:
  Writer(LogScript& aLog, std::uint64_t aSeed)
    : log_(aLog)
    , random_(aSeed)
  {
    Append(EncodePublishRecord(ShopRecord()));
  }

  void AppendOne()
  {
    switch (Pick(10)) {
      case 0:
        return Append(std::string(Pick(40), 'x'));
      case 1:
        return Append(log_.records_[Pick(log_.records_.size())].data_);
      case 2:
        return Append(EncodeSnapshot(*replica_.State(), replica_.AppliedOffset()));
      default:
        return Append(EncodePublishRecord(RandomRecord()));
    }
  }

private:
  std::size_t Pick(std::size_t aCount)
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

  //! A record based on one of the last few states, so that publishers race.
  PublishRecord RandomRecord()
  {
    const std::size_t back = Pick(std::min<std::size_t>(3, log_.states_.size()));
    const ConfigState& seen = *log_.states_[log_.states_.size() - 1 - back];
    PublishRecord record{
      PublishId("p" + std::to_string(log_.records_.size())), "operator", {}, seen.version_, 0
    };
    const std::string name = "r" + std::to_string(Pick(kNames));
    AddChange(seen, { ResourceKind::kLimits, name }, Limits{ 1 + std::uint32_t(Pick(9)) }, record);
    AddChange(seen, { ResourceKind::kEndpoints, name }, Endpoints{ LimitsName(name) }, record);
    AddChange(seen, { ResourceKind::kRoute, name }, RouteTo(name), record);
    return record;
  }

  Route RouteTo(const std::string& aName)
  {
    Route route = LostRoute();
    route.pathPrefix_ = "/" + aName;
    route.endpoints_ = common::ServiceName("r" + std::to_string(Pick(kNames)));
    return route;
  }

  void AddChange(const ConfigState& aSeen,
                 const ResourceKey& aKey,
                 ResourceValue aValue,
                 PublishRecord& aRecord)
  {
    const auto present = aSeen.Find(aKey);
    const std::size_t choice = Pick(4);
    if (choice == 0) {
      return;
    }
    if (choice == 1 && present) {
      aRecord.changes_.push_back({ aKey, present->version_, std::nullopt });
      return;
    }
    const common::Version base = present ? present->version_ : common::Version(0);
    aRecord.changes_.push_back({ aKey, base, std::move(aValue) });
  }

  LogScript& log_;
  std::mt19937_64 random_;
  Replica replica_;
};

} // namespace

LogScript MakeLog(std::uint64_t aSeed, std::size_t aLength)
{
  LogScript log;
  Writer writer(log, aSeed);
  while (log.records_.size() < aLength) {
    writer.AppendOne();
  }
  return log;
}

void FoldInto(Replica& aReplica, const LogScript& aLog, std::size_t aBegin, std::size_t aEnd)
{
  for (std::size_t index = aBegin; index < aEnd; ++index) {
    aReplica.OnRecord(common::Offset(index), aLog.records_[index]);
  }
}

bool IsClosed(const ConfigState& aState)
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
