#include "dandelionstand/common/EventLog.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;

TEST_CASE("An event line quotes values that would break its pairs", "[common][log]")
{
  CHECK(FormatFields("refused", { { "reason", "queue full" }, { "version", 7 }, { "peer", "" } }) ==
        "event=refused reason=\"queue full\" version=7 peer=\"\"");
}
