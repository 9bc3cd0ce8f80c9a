#include "dandelionstand/load/FleetStats.h"

#include <algorithm>

namespace dandelionstand::load {

namespace {

constexpr double kPercent = 100;
constexpr double kBytesPerMb = 1'048'576;
constexpr double kMicrosecondsPerSecond = 1e6;

double Seconds(common::Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond;
}

//! Growth of one counter of a daemon by the second.
class Growth
{
public:
  Growth(const DaemonSample& aEarlier, const DaemonSample& aLater, double aSeconds)
    : earlier_(aEarlier)
    , later_(aLater)
    , seconds_(aSeconds)
  {
  }

  double Of(const std::string& aCounter) const
  {
    return (later_.metrics_.Sum(aCounter) - earlier_.metrics_.Sum(aCounter)) / seconds_;
  }

private:
  const DaemonSample& earlier_;
  const DaemonSample& later_;
  double seconds_;
};

DaemonRates RatesOf(const DaemonSample& aEarlier, const DaemonSample& aLater, double aSeconds)
{
  const Growth growth(aEarlier, aLater, aSeconds);
  DaemonRates rates;
  rates.instance_ = aLater.instance_;
  rates.isRegionHead_ = aLater.metrics_.Sum("dandelion_spreading_is_reader") > 0;
  rates.cpuPercent_ = Seconds(aLater.usage_.cpu_ - aEarlier.usage_.cpu_) / aSeconds * kPercent;
  rates.residentMb_ = static_cast<double>(aLater.usage_.residentBytes_) / kBytesPerMb;
  rates.messagesPerSecond_ = growth.Of("dandelion_peer_messages_sent_total");
  rates.sentBytesPerSecond_ = growth.Of("dandelion_peer_bytes_sent_total");
  rates.receivedBytesPerSecond_ = growth.Of("dandelion_peer_bytes_received_total");
  rates.appendsPerSecond_ = growth.Of("dandelion_log_appends_total");
  rates.readsPerSecond_ = growth.Of("dandelion_log_reads_total");
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

BorderRates RatesOf(const BorderBytes& aEarlier, const BorderBytes& aLater, double aSeconds)
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
  rates.seconds_ = Seconds(aLater.time_ - aEarlier.time_);
  for (const DaemonSample& later : aLater.daemons_) {
    const DaemonSample* earlier = FindSample(aEarlier, later.instance_);
    if (earlier != nullptr && earlier->pid_ == later.pid_) {
      rates.daemons_.push_back(RatesOf(*earlier, later, rates.seconds_));
    }
  }
  const common::Duration logCpu = aLater.log_.cpu_ - aEarlier.log_.cpu_;
  rates.logCpuPercent_ = Seconds(logCpu) / rates.seconds_ * kPercent;
  rates.logResidentMb_ = static_cast<double>(aLater.log_.residentBytes_) / kBytesPerMb;
  rates.borders_ = RatesOf(aEarlier.borders_, aLater.borders_, rates.seconds_);
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
  double most = 0;
  for (const DaemonRates& daemon : aRates.daemons_) {
    most = std::max(most, daemon.*aField);
  }
  return most;
}

double MaxOfHeads(const FleetRates& aRates, RateField aField)
{
  double most = 0;
  for (const DaemonRates& daemon : aRates.daemons_) {
    most = daemon.isRegionHead_ ? std::max(most, daemon.*aField) : most;
  }
  return most;
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
