#include "dandelionstand/load/Mix.h"

#include <catch2/catch.hpp>

#include <set>

using namespace dandelionstand::load;
using dandelionstand::config::TrafficClass;

namespace {

constexpr std::uint64_t kSeed = 11;
constexpr int kDraws = 10'000;

} // namespace

TEST_CASE("Each user's mix has every class, and only orders carry idempotency keys", "[load][mix]")
{
  for (const std::string user : { "zafukreis", "blue-mahoe" }) {
    const auto classes = ClassesOfUser(user);
    REQUIRE(classes);
    std::set<TrafficClass> trafficClasses;
    for (const CallClass& callClass : *classes) {
      trafficClasses.insert(callClass.trafficClass_);
      CHECK(callClass.isKeyed_ == (callClass.trafficClass_ == TrafficClass::kOrder));
    }
    CHECK(trafficClasses.size() == 4);
  }
  CHECK_FALSE(ClassesOfUser("nobody"));
}

TEST_CASE("A mix draws classes by weight", "[load][mix]")
{
  auto classes = *ClassesOfUser("zafukreis");
  REQUIRE(ApplyWeights("lookup=3,order=1", classes));
  Mix mix(classes, "run", kSeed);
  int orders = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    const CallPlan plan = mix.Next();
    const TrafficClass trafficClass = classes[plan.classIndex_].trafficClass_;
    CHECK((trafficClass == TrafficClass::kLookup || trafficClass == TrafficClass::kOrder));
    orders += trafficClass == TrafficClass::kOrder ? 1 : 0;
  }
  CHECK(orders == Approx(kDraws / 4).epsilon(0.1));
}

TEST_CASE("Identities and idempotency keys are unique within a run", "[load][mix]")
{
  auto classes = *ClassesOfUser("blue-mahoe");
  REQUIRE(ApplyWeights("order=1", classes));
  Mix mix(classes, "run", kSeed);
  std::set<std::string> identities;
  std::set<std::string> keys;
  for (int draw = 0; draw < 100; ++draw) {
    const CallPlan plan = mix.Next();
    identities.insert(plan.identity_);
    keys.insert(plan.idempotencyKey_);
  }
  CHECK(identities.size() == 100);
  CHECK(keys.size() == 100);
}

TEST_CASE("Malformed weights change no class", "[load][mix]")
{
  auto classes = *ClassesOfUser("zafukreis");
  const std::uint32_t originalWeight = classes.front().weight_;
  for (const std::string text : { "", "browse", "browse=x", "nothing=3", "browse=1,x" }) {
    INFO(text);
    CHECK_FALSE(ApplyWeights(text, classes));
    CHECK(classes.front().weight_ == originalWeight);
  }
}
