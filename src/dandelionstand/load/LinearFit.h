#ifndef dandelionstand_load_LinearFit_h
#define dandelionstand_load_LinearFit_h

#include "dandelionstand/load/Plot.h"

#include <vector>

namespace dandelionstand::load {

//! A fitted line, the standard error of its slope and the range of its points.
struct LinearFit
{
  double slope_ = 0;
  double intercept_ = 0;
  double slopeError_ = 0; //!< Standard error of the slope; 0 with fewer than three points.
  double minX_ = 0;       //!< Range of the fitted points.
  double maxX_ = 0;

  double ValueAt(double aX) const { return intercept_ + slope_ * aX; }
  //! Ratio of aX to the largest fitted x; above 1 the line is extrapolated.
  double ExtrapolationFactor(double aX) const { return maxX_ > 0 ? aX / maxX_ : 0; }
};

//! Ordinary least squares. If all x are equal, the line has slope 0 and passes through the mean.
LinearFit FitLine(const std::vector<PlotPoint>& aPoints);

} // namespace dandelionstand::load

#endif // dandelionstand_load_LinearFit_h
