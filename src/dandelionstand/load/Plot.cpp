#include "dandelionstand/load/Plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

namespace dandelionstand::load {

namespace {

constexpr double kWidthPx = 760;
constexpr double kHeightPx = 420;
constexpr double kLeftPx = 80;
constexpr double kRightPx = 580;
constexpr double kTopPx = 40;
constexpr double kBottomPx = 370;
constexpr double kLegendLeftPx = 595;
constexpr double kLegendRowPx = 18;
constexpr int kTickCount = 6;
constexpr std::size_t kMaxMarkedPoints = 40;
constexpr std::array kColours = { "#1b6ca8", "#c8553d", "#3a7d44", "#8a4fa3",
                                  "#b8860b", "#4d4d4d", "#d1495b", "#00798c" };

//! Maps values of one axis to pixels.
class Scale
{
public:
  Scale(const PlotAxis& aAxis, double aStartPx, double aEndPx)
    : isLogarithmic_(aAxis.scale_ == AxisScale::kLogarithmic)
    , startPx_(aStartPx)
    , endPx_(aEndPx)
  {
  }

  //! A logarithmic axis cannot show values at or below 0.
  bool CanPlot(double aValue) const { return !isLogarithmic_ || aValue > 0; }

  //! Extends the range to aValue.
  void Include(double aValue)
  {
    const double value = Transform(aValue);
    min_ = std::min(min_, value);
    max_ = std::max(max_, value);
  }

  //! Replaces an empty or zero-width range and extends a linear axis to 0.
  void NormalizeRange()
  {
    if (min_ > max_) {
      min_ = 0;
      max_ = 1;
    }
    if (!isLogarithmic_) {
      min_ = std::min(min_, 0.0);
    }
    if (max_ - min_ < std::numeric_limits<double>::epsilon()) {
      max_ = min_ + 1;
    }
  }

  double ToPx(double aValue) const { return PxOf(Transform(aValue)); }

  //! Value at a position along the axis, from 0 to 1.
  double ValueAt(double aFraction) const
  {
    const double value = min_ + aFraction * (max_ - min_);
    return isLogarithmic_ ? std::pow(10, value) : value;
  }

private:
  double Transform(double aValue) const { return isLogarithmic_ ? std::log10(aValue) : aValue; }

  double PxOf(double aTransformed) const
  {
    return startPx_ + (aTransformed - min_) / (max_ - min_) * (endPx_ - startPx_);
  }

  bool isLogarithmic_;
  double startPx_;
  double endPx_;
  double min_ = std::numeric_limits<double>::max();
  double max_ = std::numeric_limits<double>::lowest();
};

std::string EscapeXml(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string TickLabel(double aValue)
{
  std::ostringstream text;
  text.precision(3);
  text << aValue;
  return text.str();
}

//! Writes the SVG elements of one plot.
class SvgWriter
{
public:
  explicit SvgWriter(const Plot& aPlot)
    : plot_(aPlot)
    , x_(aPlot.x_, kLeftPx, kRightPx)
    , y_(aPlot.y_, kBottomPx, kTopPx)
  {
    for (const PlotSeries& series : plot_.series_) {
      for (const PlotPoint& point : series.points_) {
        Include(point);
      }
    }
    x_.NormalizeRange();
    y_.NormalizeRange();
  }

  std::string Write()
  {
    out_ << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << kWidthPx << R"(" height=")"
         << kHeightPx << R"(" font-family="sans-serif" font-size="12">)"
         << "\n"
         << R"(<rect width="100%" height="100%" fill="white"/>)"
         << "\n";
    WriteText(kLeftPx, kTopPx / 2, "start", plot_.title_);
    WriteAxes();
    for (std::size_t index = 0; index < plot_.series_.size(); ++index) {
      WriteSeries(index);
    }
    out_ << "</svg>\n";
    return out_.str();
  }

private:
  bool CanPlot(const PlotPoint& aPoint) const
  {
    return x_.CanPlot(aPoint.x_) && y_.CanPlot(aPoint.y_);
  }

  void Include(const PlotPoint& aPoint)
  {
    if (CanPlot(aPoint)) {
      x_.Include(aPoint.x_);
      y_.Include(aPoint.y_);
    }
  }

  void WriteText(double aX, double aY, const char* aAnchor, const std::string& aText)
  {
    out_ << "<text x=\"" << aX << "\" y=\"" << aY << "\" text-anchor=\"" << aAnchor << "\">"
         << EscapeXml(aText) << "</text>\n";
  }

  void WriteLine(double aX1, double aY1, double aX2, double aY2, const char* aColour)
  {
    out_ << "<line x1=\"" << aX1 << "\" y1=\"" << aY1 << "\" x2=\"" << aX2 << "\" y2=\"" << aY2
         << "\" stroke=\"" << aColour << "\"/>\n";
  }

  void WriteAxes()
  {
    for (int tick = 0; tick < kTickCount; ++tick) {
      const double fraction = static_cast<double>(tick) / (kTickCount - 1);
      const double px = kLeftPx + fraction * (kRightPx - kLeftPx);
      const double py = kBottomPx + fraction * (kTopPx - kBottomPx);
      WriteLine(kLeftPx, py, kRightPx, py, "#dddddd");
      WriteText(px, kBottomPx + 16, "middle", TickLabel(x_.ValueAt(fraction)));
      WriteText(kLeftPx - 6, py + 4, "end", TickLabel(y_.ValueAt(fraction)));
    }
    WriteLine(kLeftPx, kBottomPx, kRightPx, kBottomPx, "black");
    WriteLine(kLeftPx, kBottomPx, kLeftPx, kTopPx, "black");
    WriteText((kLeftPx + kRightPx) / 2, kBottomPx + 36, "middle", plot_.x_.label_);
    WriteText(kLeftPx, kTopPx - 6, "start", plot_.y_.label_);
  }

  void WriteSeries(std::size_t aIndex)
  {
    const PlotSeries& series = plot_.series_[aIndex];
    const char* colour = kColours[aIndex % kColours.size()];
    out_ << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
    for (const PlotPoint& point : series.points_) {
      if (CanPlot(point)) {
        out_ << x_.ToPx(point.x_) << "," << y_.ToPx(point.y_) << " ";
      }
    }
    out_ << "\"/>\n";
    const bool isMarked = series.points_.size() <= kMaxMarkedPoints;
    for (const PlotPoint& point : series.points_) {
      if (isMarked && CanPlot(point)) {
        out_ << "<circle r=\"2.5\" cx=\"" << x_.ToPx(point.x_) << "\" cy=\"" << y_.ToPx(point.y_)
             << "\" fill=\"" << colour << "\"/>\n";
      }
    }
    const double row = kTopPx + kLegendRowPx * static_cast<double>(aIndex);
    WriteLine(kLegendLeftPx, row, kLegendLeftPx + 14, row, colour);
    WriteText(kLegendLeftPx + 20, row + 4, "start", series.name_);
  }

  const Plot& plot_;
  Scale x_;
  Scale y_;
  std::ostringstream out_;
};

} // namespace

std::string ToSvg(const Plot& aPlot)
{
  return SvgWriter(aPlot).Write();
}

} // namespace dandelionstand::load
