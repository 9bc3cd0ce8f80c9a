#include "dandelionstand/daemon/Settings.h"

#include <catch2/catch.hpp>

#include <string>

using namespace dandelionstand;

namespace {

const std::string kValidSettings = R"({
  // one daemon
  "instance": "katalog-1",
  "failure_domain": "ostalpen-a",
  "region": "ostalpen",
  "callers": { "listen": "127.1.0.1:7000" },
  "admin": { "listen": "127.1.0.1:7001" },
  "peers": { "listen": "127.1.0.1:7002", "seeds": [ "127.2.0.1:7002" ] },
  "log": { "address": "127.0.0.1:9000" }
})";

std::string Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const std::size_t found = aText.find(aOld);
  REQUIRE(found != std::string::npos);
  return aText.replace(found, aOld.size(), aNew);
}

std::string FindingsOf(const std::string& aText)
{
  common::Findings findings;
  daemon::ParseSettings(aText, "daemon.json", findings);
  return findings.ToString();
}

} // namespace

TEST_CASE("Settings with comments are read, and missing keys get their defaults",
          "[daemon][settings]")
{
  common::Findings findings;
  const daemon::Settings settings = daemon::ParseSettings(kValidSettings, "daemon.json", findings);
  REQUIRE(findings.ToString().empty());
  CHECK(settings.instance_ == common::InstanceId("katalog-1"));
  CHECK(settings.peers_.advertise_ == common::Address("127.1.0.1:7002"));
  CHECK(settings.peers_.seeds_ == std::vector{ common::Address("127.2.0.1:7002") });
  CHECK(settings.profile_ == "time");
}

TEST_CASE("The bandwidth of the link may have a fraction, be null or be missing",
          "[daemon][settings]")
{
  const auto withLink = [](const std::string& aValue) {
    return Replace(kValidSettings, "\"log\":", "\"link_mbit_per_s\": " + aValue + ", \"log\":");
  };
  const auto linkOf = [](const std::string& aText) {
    common::Findings findings;
    const daemon::Settings settings = daemon::ParseSettings(aText, "daemon.json", findings);
    CHECK(findings.ToString().empty());
    return settings.linkMegabitsPerSecond_;
  };
  CHECK(linkOf(withLink("9.8")) == 9.8);
  CHECK_FALSE(linkOf(withLink("null")));
  CHECK_FALSE(linkOf(kValidSettings));
  CHECK(FindingsOf(withLink("0")) ==
        "daemon.json:9: link_mbit_per_s: must be a number from 0.1 to 1e+06\n");
}

TEST_CASE("Every fault in the settings is reported at once with its line and key",
          "[daemon][settings]")
{
  std::string text = Replace(kValidSettings, "127.1.0.1:7000", "somewhere");
  text = Replace(text, "\"region\": \"ostalpen\"", "\"region\": 7");
  text = Replace(text, "\"127.2.0.1:7002\"", "\"127.2.0.1:7002\", \"127.2.0.1:7002\"");
  text = Replace(text, "\"address\"", "\"timeout_ms\": 1, \"adress\"");
  CHECK(FindingsOf(text) ==
        "daemon.json:5: region: must be a string\n"
        "daemon.json:6: callers.listen: must be an IP address and a port, like 127.0.0.1:7000\n"
        "daemon.json:8: peers.seeds.1: address is given twice\n"
        "daemon.json:9: log: key 'address' is missing\n"
        "daemon.json:9: log.timeout_ms: must be a whole number from 50 to 60000\n"
        "daemon.json:9: log.adress: unknown key\n");
}

TEST_CASE("Text that is not JSON gives one finding with its line", "[daemon][settings]")
{
  CHECK(FindingsOf("{\n\"instance\" 5 }").starts_with("daemon.json:2: not valid JSON near"));
}
