#ifndef dandelionstand_load_LinearFit_h
#define dandelionstand_load_LinearFit_h

#include "dandelionstand/load/Plot.h"

#include <vector>

namespace dandelionstand::load {

//! A line through measured points and how far it is to be trusted.
struct LinearFit
{
  double slope_ = 0;
  double intercept_ = 0;
  double slopeError_ = 0; //!< Standard error of the slope; 0 with fewer than three points.
  double leastX_ = 0;     //!< Range that was measured.
  double mostX_ = 0;

  double At(double aX) const { return intercept_ + slope_ * aX; }
  //! How many times the largest measured x lies below aX; at most 1 is not extrapolated.
  double ExtrapolationTo(double aX) const { return mostX_ > 0 ? aX / mostX_ : 0; }
};

//! Ordinary least squares; a slope of 0 through the mean if all x are equal.
LinearFit FitLine(const std::vector<PlotPoint>& aPoints);

} // namespace dandelionstand::load

#endif // dandelionstand_load_LinearFit_h
