//! Hidden from the default run: `config_tests "[.measure]"` prints the figures quoted in
//! docs/design.

#include "dandelionstand/config/Delta.h"
#include "dandelionstand/config/Publish.h"
#include "dandelionstand/config/Snapshot.h"

#include "ConfigFixtures.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

namespace {

constexpr std::size_t kServiceCount = 79;
constexpr std::size_t kRoutesPerService = 4;
constexpr std::uint64_t kChangeCount = 200;

ConfigState FullSizeDocument()
{
  ConfigState state;
  for (std::size_t service = 0; service < kServiceCount; ++service) {
    const std::string name = "service-" + std::to_string(service);
    state.limits_[LimitsName(name)].value_ = { 18, 110, 36, 10 };
    state.endpoints_[ServiceName(name)].value_ = { LimitsName(name) };
    for (std::size_t route = 0; route < kRoutesPerService; ++route) {
      const std::string path = "/" + name + "/part-" + std::to_string(route);
      state.routes_[RouteName(name + "-route-" + std::to_string(route))].value_ = {
        path,
        { "GET", "HEAD" },
        ServiceName(name),
        Idempotency::kIdempotent,
        TrafficClass::kBrowse,
        std::chrono::seconds(2),
        3
      };
    }
  }
  return state;
}

//! A record that changes the slots in the limits of one service.
PublishRecord ChangedSlotsRecord(const ConfigState& aBase, std::uint64_t aStep)
{
  ConfigState changed = aBase;
  const LimitsName name("service-" + std::to_string(aStep * 7 % kServiceCount));
  changed.limits_.at(name).value_.slots_ = static_cast<std::uint32_t>(20 + aStep % 80);
  return { PublishId("p" + std::to_string(aStep)),
           "operator",
           ChangesBetween(aBase, changed),
           aBase.version_,
           0 };
}

template<typename Action>
double MeanMicroseconds(std::uint64_t aCount, const Action& aAction)
{
  const TimePoint begin = Now();
  for (std::uint64_t run = 0; run < aCount; ++run) {
    aAction();
  }
  return static_cast<double>((Now() - begin).count()) / static_cast<double>(aCount);
}

} // namespace

TEST_CASE("Encoded sizes and processing times of a full-size configuration", "[.measure]")
{
  const PublishRecord initialRecord{
    PublishId("p0"), "operator", ChangesBetween({}, FullSizeDocument()), Version(0), 0
  };
  std::vector<ConfigStatePtr> states{ Publish({}, 1, initialRecord) };
  std::size_t recordBytes = 0;
  for (std::uint64_t step = 1; step <= kChangeCount; ++step) {
    const PublishRecord record = ChangedSlotsRecord(*states.back(), step);
    recordBytes += EncodePublishRecord(record).size();
    states.push_back(Publish(*states.back(), step + 1, record));
  }
  const ConfigState& last = *states.back();
  const Offset appliedOffset(kChangeCount + 1);
  std::cout << "resources " << last.Resources().size() << "\n"
            << "whole publish record bytes " << EncodePublishRecord(initialRecord).size() << "\n"
            << "record of one change bytes " << recordBytes / kChangeCount << "\n"
            << "snapshot bytes " << EncodeSnapshot(last, appliedOffset).size() << "\n";
  for (const std::size_t back : { 1, 10, 100, 200 }) {
    const Version from = states[states.size() - 1 - back]->version_;
    std::cout << "delta over " << back << " versions bytes "
              << EncodeDelta(*DeltaSince(last, appliedOffset, from)).size() << "\n";
  }
  const std::string encodedRecord = EncodePublishRecord(ChangedSlotsRecord(last, kChangeCount + 1));
  std::cout << "accept us "
            << MeanMicroseconds(200, [&] { Accept(last, Offset(kChangeCount + 2), encodedRecord); })
            << "\nhash us " << MeanMicroseconds(200, [&] { HashOf(last); }) << "\nsnapshot us "
            << MeanMicroseconds(50, [&] { EncodeSnapshot(last, appliedOffset); }) << "\n";
}
