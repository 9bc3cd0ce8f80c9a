#ifndef dandelionstand_load_FleetStats_h
#define dandelionstand_load_FleetStats_h

#include "dandelionstand/load/Fleet.h"

#include <string>
#include <vector>

namespace dandelionstand::load {

//! Resource usage and traffic of one daemon between two samples.
struct DaemonRates
{
  const InstancePlan* instance_ = nullptr;
  bool isRegionHead_ = false;        //!< Reads the log for its region, at the later sample.
  double cpuPercent_ = 0;            //!< Of one core.
  double residentMb_ = 0;            //!< At the later sample, in 2^20 bytes.
  double sentMessagesPerSecond_ = 0; //!< Sent to other daemons.
  double sentBytesPerSecond_ = 0;    //!< Sent to other daemons.
  double receivedBytesPerSecond_ = 0;
  double interRegionBytesPerSecond_ = 0; //!< Control bytes sent to other regions, without framing.
  double interDomainBytesPerSecond_ = 0; //!< Control bytes sent to other domains of the region.
  double appendsPerSecond_ = 0;          //!< Requests to the log, successful or not.
  double readsPerSecond_ = 0;            //!< Requests to the log, successful or not.
};

//! Bytes per second that the fault proxy forwarded between two samples, by the locality of sender
//! and receiver. Includes all framing above TCP.
struct ProxiedRates
{
  double betweenRegions_ = 0;
  double betweenDomains_ = 0; //!< Different domains of the same region.
  double insideDomains_ = 0;
};

struct FleetRates
{
  double intervalSeconds_ = 0;
  std::vector<DaemonRates> daemons_;
  double logCpuPercent_ = 0;
  double logResidentMb_ = 0;
  ProxiedRates proxiedRates_;
};

//! Rates between two samples. Daemons that are missing in one sample or were restarted in between
//! are left out.
FleetRates RatesBetween(const FleetSample& aEarlier, const FleetSample& aLater);

//! Member of DaemonRates to aggregate over the daemons.
using RateField = double DaemonRates::*;

double MeanOf(const FleetRates& aRates, RateField aField);
//! Maximum over the region heads; 0 if there are none.
double MaxOfRegionHeads(const FleetRates& aRates, RateField aField);
double MaxOf(const FleetRates& aRates, RateField aField);
double SumOf(const FleetRates& aRates, RateField aField);

} // namespace dandelionstand::load

#endif // dandelionstand_load_FleetStats_h
