#include "dandelionstand/common/EventLog.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;

TEST_CASE("Empty values and values with spaces are quoted in an event line", "[common][log]")
{
  CHECK(FormatFields("refused", { { "reason", "queue full" }, { "version", 7 }, { "peer", "" } }) ==
        "event=refused reason=\"queue full\" version=7 peer=\"\"");
}
