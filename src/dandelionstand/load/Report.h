#ifndef dandelionstand_load_Report_h
#define dandelionstand_load_Report_h

#include "dandelionstand/load/OrderAudit.h"
#include "dandelionstand/load/Plot.h"
#include "dandelionstand/load/Schedule.h"
#include "dandelionstand/load/Table.h"
#include "dandelionstand/load/Tally.h"

#include <string>
#include <vector>

namespace dandelionstand::load {

//! Results of one load run.
struct RunResults
{
  std::vector<RateStep> steps_;
  std::uint64_t seed_ = 0;
  Tally tally_;
  OrderAudit orders_;
};

//! Whether the run violated a delivery guarantee: a wrong answer was returned as valid, an order
//! ran twice, an order refused as not run did run, or no target ran an answered order.
bool HasBrokenPromise(const RunResults& aResults);

//! One row per path (mesh or direct), step and class: counts by verdict, attempts and latency
//! quantiles.
Table MakeLatencyTable(const RunResults& aResults);

//! Latency quantiles through the mesh minus those of direct calls, for each step and class that has
//! both.
Table MakeAddedLatencyTable(const RunResults& aResults);

//! Number of refusals by run state and reason.
Table MakeRefusalTable(const RunResults& aResults);

//! Complete report for a terminal; the last line says whether a promise was broken.
std::string MakeTextReport(const RunResults& aResults);

//! Tail distribution: share of calls above a latency, one line per path and class.
Plot MakeLatencyPlot(const RunResults& aResults);

//! 99th percentile of the latency against the rate of the step, one line per path and class.
Plot MakeRatePlot(const RunResults& aResults);

//! Writes report.txt, the tables as CSV and the plots as SVG to a folder, which is created if it
//! does not exist.
void WriteReport(const RunResults& aResults, const std::string& aFolder);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Report_h
