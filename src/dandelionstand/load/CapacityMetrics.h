#ifndef dandelionstand_load_CapacityMetrics_h
#define dandelionstand_load_CapacityMetrics_h

#include "dandelionstand/load/CapacityExperiment.h"
#include "dandelionstand/load/FleetStats.h"

#include <string>
#include <vector>

namespace dandelionstand::load {

//! Appends one sample per metric of the fleet, for aVariable set to aValue.
void AddMetrics(const std::string& aVariable,
                double aValue,
                const FleetRates& aRates,
                std::vector<CapacitySample>& aSamples);

} // namespace dandelionstand::load

#endif // dandelionstand_load_CapacityMetrics_h
