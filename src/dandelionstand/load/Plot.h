#ifndef dandelionstand_load_Plot_h
#define dandelionstand_load_Plot_h

#include <string>
#include <vector>

namespace dandelionstand::load {

struct PlotPoint
{
  double x_ = 0;
  double y_ = 0;
};

//! One line of a plot, with its legend text.
struct PlotSeries
{
  std::string name_;
  std::vector<PlotPoint> points_;
};

enum class AxisScale
{
  kLinear,
  kLogarithmic, //!< Points at or below 0 are left out.
};

struct PlotAxis
{
  std::string label_; //!< With the unit.
  AxisScale scale_ = AxisScale::kLinear;
};

struct Plot
{
  std::string title_;
  PlotAxis x_;
  PlotAxis y_;
  std::vector<PlotSeries> series_;
};

//! Renders the plot as a self-contained SVG document.
std::string ToSvg(const Plot& aPlot);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Plot_h
