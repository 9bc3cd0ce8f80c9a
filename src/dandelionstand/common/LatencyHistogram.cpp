#include "dandelionstand/common/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace dandelionstand::common {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBinCount = 800;
constexpr double kMinUs = 1;
constexpr double kMaxUs = 1e8;

auto MakeHistogram()
{
  return bh::make_histogram(LogAxis(kBinCount, kMinUs, kMaxUs));
}

Duration ToDuration(double aMicroseconds)
{
  return Duration(static_cast<Duration::rep>(std::llround(aMicroseconds)));
}

} // namespace

struct LatencyHistogram::Impl
{
  decltype(MakeHistogram()) histogram_ = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : impl_(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : impl_(std::make_unique<Impl>(*aOther.impl_))
  , count_(aOther.count_)
  , sum_(aOther.sum_)
  , max_(aOther.max_)
{
}

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& aOther)
{
  if (this != &aOther) {
    *impl_ = *aOther.impl_;
    count_ = aOther.count_;
    sum_ = aOther.sum_;
    max_ = aOther.max_;
  }
  return *this;
}

void LatencyHistogram::Add(Duration aLatency)
{
  const double clamped =
    std::clamp(static_cast<double>(aLatency.count()), kMinUs, std::nexttoward(kMaxUs, 0.0L));
  impl_->histogram_(clamped);
  count_ += 1;
  sum_ += aLatency;
  max_ = std::max(max_, aLatency);
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  impl_->histogram_ += aOther.impl_->histogram_;
  count_ += aOther.count_;
  sum_ += aOther.sum_;
  max_ = std::max(max_, aOther.max_);
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  const auto rank = static_cast<std::uint64_t>(std::ceil(aQuantile * static_cast<double>(count_)));
  std::uint64_t cumulativeCount = 0;
  for (const LatencyBin& bin : Bins()) {
    cumulativeCount += bin.count_;
    if (cumulativeCount >= rank) {
      return std::min(bin.upper_, max_);
    }
  }
  return max_;
}

std::vector<LatencyBin> LatencyHistogram::Bins() const
{
  std::vector<LatencyBin> bins;
  for (const auto& cell : bh::indexed(impl_->histogram_)) {
    const auto count = static_cast<std::uint64_t>(*cell);
    if (count > 0) {
      bins.push_back({ ToDuration(cell.bin().lower()), ToDuration(cell.bin().upper()), count });
    }
  }
  return bins;
}

} // namespace dandelionstand::common
