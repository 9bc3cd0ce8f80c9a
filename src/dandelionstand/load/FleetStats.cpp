#include "dandelionstand/load/FleetStats.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

constexpr double kPercent = 100;
constexpr double kBytesPerMb = 1'048'576;
constexpr double kMicrosecondsPerSecond = 1e6;

double ToSeconds(common::Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond;
}

//! Per-second rates of a daemon's counters between two samples.
class CounterRates
{
public:
  CounterRates(const DaemonSample& aEarlier, const DaemonSample& aLater, double aSeconds)
    : earlier_(aEarlier)
    , later_(aLater)
    , intervalSeconds_(aSeconds)
  {
  }

  double PerSecond(const std::string& aCounter, const std::string& aLabels = "") const
  {
    const double before = earlier_.metrics_.Sum(aCounter, aLabels);
    return (later_.metrics_.Sum(aCounter, aLabels) - before) / intervalSeconds_;
  }

private:
  const DaemonSample& earlier_;
  const DaemonSample& later_;
  double intervalSeconds_;
};

DaemonRates RatesOf(const DaemonSample& aEarlier, const DaemonSample& aLater, double aSeconds)
{
  const CounterRates counterRates(aEarlier, aLater, aSeconds);
  DaemonRates rates;
  rates.instance_ = aLater.instance_;
  rates.isRegionHead_ = aLater.metrics_.Sum("dandelion_spreading_is_reader") > 0;
  rates.cpuPercent_ =
    ToSeconds(aLater.usage_.cpuTime_ - aEarlier.usage_.cpuTime_) / aSeconds * kPercent;
  rates.residentMb_ = static_cast<double>(aLater.usage_.residentBytes_) / kBytesPerMb;
  rates.sentMessagesPerSecond_ = counterRates.PerSecond("dandelion_peer_messages_sent_total");
  rates.sentBytesPerSecond_ = counterRates.PerSecond("dandelion_peer_bytes_sent_total");
  rates.receivedBytesPerSecond_ = counterRates.PerSecond("dandelion_peer_bytes_received_total");
  rates.interRegionBytesPerSecond_ =
    counterRates.PerSecond("dandelion_control_bytes_sent_total", "border=\"other_region\"");
  rates.interDomainBytesPerSecond_ =
    counterRates.PerSecond("dandelion_control_bytes_sent_total", "border=\"same_region\"");
  rates.appendsPerSecond_ = counterRates.PerSecond("dandelion_log_appends_total");
  rates.readsPerSecond_ = counterRates.PerSecond("dandelion_log_reads_total");
  return rates;
}

const DaemonSample* FindSample(const FleetSample& aSample, const InstancePlan* aInstance)
{
  for (const DaemonSample& daemon : aSample.daemons_) {
    if (daemon.instance_ == aInstance) {
      return &daemon;
    }
  }
  return nullptr;
}

ProxiedRates RatesOf(const ProxiedBytes& aEarlier, const ProxiedBytes& aLater, double aSeconds)
{
  const auto rate = [aSeconds](std::uint64_t aBefore, std::uint64_t aAfter) {
    return static_cast<double>(aAfter - aBefore) / aSeconds;
  };
  return { rate(aEarlier.betweenRegions_, aLater.betweenRegions_),
           rate(aEarlier.betweenDomains_, aLater.betweenDomains_),
           rate(aEarlier.insideDomains_, aLater.insideDomains_) };
}

} // namespace

FleetRates RatesBetween(const FleetSample& aEarlier, const FleetSample& aLater)
{
  FleetRates rates;
  rates.intervalSeconds_ = ToSeconds(aLater.sampledAt_ - aEarlier.sampledAt_);
  for (const DaemonSample& later : aLater.daemons_) {
    const DaemonSample* earlier = FindSample(aEarlier, later.instance_);
    if (earlier != nullptr && earlier->pid_ == later.pid_) {
      rates.daemons_.push_back(RatesOf(*earlier, later, rates.intervalSeconds_));
    }
  }
  const common::Duration logCpu = aLater.logUsage_.cpuTime_ - aEarlier.logUsage_.cpuTime_;
  rates.logCpuPercent_ = ToSeconds(logCpu) / rates.intervalSeconds_ * kPercent;
  rates.logResidentMb_ = static_cast<double>(aLater.logUsage_.residentBytes_) / kBytesPerMb;
  rates.proxiedRates_ =
    RatesOf(aEarlier.proxiedBytes_, aLater.proxiedBytes_, rates.intervalSeconds_);
  return rates;
}

double MeanOf(const FleetRates& aRates, RateField aField)
{
  return aRates.daemons_.empty()
           ? 0
           : SumOf(aRates, aField) / static_cast<double>(aRates.daemons_.size());
}

double MaxOf(const FleetRates& aRates, RateField aField)
{
  double maximum = 0;
  for (const DaemonRates& daemon : aRates.daemons_) {
    maximum = std::max(maximum, daemon.*aField);
  }
  return maximum;
}

double MaxOfRegionHeads(const FleetRates& aRates, RateField aField)
{
  double maximum = 0;
  for (const DaemonRates& daemon : aRates.daemons_) {
    maximum = daemon.isRegionHead_ ? std::max(maximum, daemon.*aField) : maximum;
  }
  return maximum;
}

double SumOf(const FleetRates& aRates, RateField aField)
{
  double sum = 0;
  for (const DaemonRates& daemon : aRates.daemons_) {
    sum += daemon.*aField;
  }
  return sum;
}

} // namespace dandelionstand::load
