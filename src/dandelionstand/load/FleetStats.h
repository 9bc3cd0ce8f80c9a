#ifndef dandelionstand_load_FleetStats_h
#define dandelionstand_load_FleetStats_h

#include "dandelionstand/load/Fleet.h"

#include <string>
#include <vector>

namespace dandelionstand::load {

//! What one daemon used between two samples, by the second.
struct DaemonRates
{
  const InstancePlan* instance_ = nullptr;
  bool isRegionHead_ = false;     //!< Reads the log for its region at the later sample.
  double cpuPercent_ = 0;         //!< Of one core.
  double residentMb_ = 0;         //!< At the later sample, in 2^20 bytes.
  double messagesPerSecond_ = 0;  //!< Sent to other daemons.
  double sentBytesPerSecond_ = 0; //!< Sent to other daemons.
  double receivedBytesPerSecond_ = 0;
  double appendsPerSecond_ = 0; //!< At the log, with any outcome.
  double readsPerSecond_ = 0;   //!< At the log, with any outcome.
};

//! Bytes over the borders between two samples, by the second; counted by the proxy, so with all
//! framing above TCP.
struct BorderRates
{
  double betweenRegions_ = 0;
  double betweenDomains_ = 0; //!< Of one region.
  double insideDomains_ = 0;
};

struct FleetRates
{
  double seconds_ = 0;
  std::vector<DaemonRates> daemons_;
  double logCpuPercent_ = 0;
  double logResidentMb_ = 0;
  BorderRates borders_;
};

//! Daemons that were sampled both times and not restarted in between.
FleetRates RatesBetween(const FleetSample& aEarlier, const FleetSample& aLater);

//! One number of each daemon.
using RateField = double DaemonRates::*;

double MeanOf(const FleetRates& aRates, RateField aField);
//! The largest number among the region heads; 0 if there is none.
double MaxOfHeads(const FleetRates& aRates, RateField aField);
double MaxOf(const FleetRates& aRates, RateField aField);
double SumOf(const FleetRates& aRates, RateField aField);

} // namespace dandelionstand::load

#endif // dandelionstand_load_FleetStats_h
