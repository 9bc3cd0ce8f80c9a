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

//! Everything that a run gave.
struct RunResults
{
  std::vector<RateStep> steps_;
  std::uint64_t seed_ = 0;
  Tally tally_;
  OrderAudit orders_;
};

//! Whether any promise was broken: a wrong answer passed off as right, an order that ran twice, or
//! a refusal that was untrue.
bool HasBrokenPromise(const RunResults& aResults);

//! One row for each way, step and class: counts by verdict, attempts and latency quantiles.
Table MakeLatencyTable(const RunResults& aResults);

//! What the mesh adds to the quantiles of each step and class that was also called directly.
Table MakeAddedLatencyTable(const RunResults& aResults);

//! Refusals by run state and reason.
Table MakeRefusalTable(const RunResults& aResults);

//! The whole report for a terminal, with the verdict on the promises at its end.
std::string MakeTextReport(const RunResults& aResults);

//! Latency against the share of calls above it, one line for each way and class.
Plot MakeLatencyPlot(const RunResults& aResults);

//! 99th percentile against the rate of the step, one line for each way and class.
Plot MakeRatePlot(const RunResults& aResults);

//! Writes report.txt, the tables as CSV and the plots as SVG into a folder, which is made if
//! absent.
void WriteReport(const RunResults& aResults, const std::string& aFolder);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Report_h
