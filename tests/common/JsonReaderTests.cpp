#include "dandelionstand/common/JsonReader.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;

TEST_CASE("A reader reports every fault of a document with its line", "[common][json]")
{
  const std::string text = "{\n"
                           "  // a comment\n"
                           "  \"name\": 5,\n"
                           "  \"size\": 900,\n"
                           "  \"colour\": \"red\",\n"
                           "  \"size\": 901\n"
                           "}\n";
  Findings findings;
  const LocatedJson document = ParseLocatedJson(text, "a.json", findings);
  JsonReader reader(document, "", findings);
  reader.RequiredString("name");
  reader.Number("size", 1, { 1, 100 });
  reader.RequiredString("region");
  reader.RejectUnknownKeys();
  CHECK(findings.ToString() == "a.json:6: size: key is given twice\n"
                               "a.json:3: name: must be a string\n"
                               "a.json:4: size: must be a whole number from 1 to 100\n"
                               "a.json: key 'region' is missing\n"
                               "a.json:5: colour: unknown key\n");
}

TEST_CASE("A syntax error is reported with the line where the parser stopped", "[common][json]")
{
  Findings findings;
  const LocatedJson document = ParseLocatedJson("{\n\"a\": 1,\n]", "a.json", findings);
  REQUIRE(findings.All().size() == 1);
  CHECK(findings.All()[0].place_.line_ == 3);
  CHECK(document.value_.is_null());
}

TEST_CASE("Nested objects are read and their findings have the full path", "[common][json]")
{
  Findings findings;
  const LocatedJson document =
    ParseLocatedJson("{\"limits\": {\"a\": {\"slots\": \"x\"}}}", "a.json", findings);
  JsonReader reader(document, "", findings);
  JsonReader limits = reader.Object("limits");
  CHECK(limits.Keys() == std::vector<std::string>{ "a" });
  limits.Object("a").Number("slots", 1, { 1, 10 });
  CHECK(findings.ToString() == "a.json:1: limits.a.slots: must be a whole number from 1 to 10\n");
}

TEST_CASE("A document with too deep nesting is refused", "[common][json]")
{
  Findings findings;
  const LocatedJson document = ParseLocatedJson(std::string(100'000, '['), "a.json", findings);
  CHECK(findings.ToString() == "a.json:1: is nested more than 32 levels deep\n");
  CHECK(document.value_.is_null());
}

TEST_CASE("An array in place of an object is reported and read as an empty object",
          "[common][json]")
{
  Findings findings;
  const LocatedJson document = ParseLocatedJson("[1]", "a.json", findings);
  JsonReader reader(document, "", findings);
  CHECK(reader.Object("limits").Keys().empty());
  CHECK(findings.ToString() == "a.json: must be an object\n");
}
