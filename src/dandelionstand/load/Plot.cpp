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
constexpr double kLegendPx = 595;
constexpr double kLegendRowPx = 18;
constexpr int kTickCount = 6;
constexpr std::size_t kMostMarkedPoints = 40;
constexpr std::array kColours = { "#1b6ca8", "#c8553d", "#3a7d44", "#8a4fa3",
                                  "#b8860b", "#4d4d4d", "#d1495b", "#00798c" };

//! Maps values of one axis to pixels.
class Scale
{
public:
  Scale(const PlotAxis& aAxis, double aFromPx, double aToPx)
    : isLogarithmic_(aAxis.scale_ == AxisScale::kLogarithmic)
    , fromPx_(aFromPx)
    , toPx_(aToPx)
  {
  }

  bool Takes(double aValue) const { return !isLogarithmic_ || aValue > 0; }

  void Widen(double aValue)
  {
    const double value = Transform(aValue);
    least_ = std::min(least_, value);
    most_ = std::max(most_, value);
  }

  void Finish()
  {
    if (least_ > most_) {
      least_ = 0;
      most_ = 1;
    }
    if (!isLogarithmic_) {
      least_ = std::min(least_, 0.0);
    }
    if (most_ - least_ < std::numeric_limits<double>::epsilon()) {
      most_ = least_ + 1;
    }
  }

  double ToPx(double aValue) const { return PxOf(Transform(aValue)); }

  //! The value at a share of the axis.
  double ValueAt(double aShare) const
  {
    const double value = least_ + aShare * (most_ - least_);
    return isLogarithmic_ ? std::pow(10, value) : value;
  }

private:
  double Transform(double aValue) const { return isLogarithmic_ ? std::log10(aValue) : aValue; }

  double PxOf(double aTransformed) const
  {
    return fromPx_ + (aTransformed - least_) / (most_ - least_) * (toPx_ - fromPx_);
  }

  bool isLogarithmic_;
  double fromPx_;
  double toPx_;
  double least_ = std::numeric_limits<double>::max();
  double most_ = std::numeric_limits<double>::lowest();
};

std::string EscapeXml(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
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
        escaped += letter;
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

//! Writes the elements of one plot.
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
        Widen(point);
      }
    }
    x_.Finish();
    y_.Finish();
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
  bool Takes(const PlotPoint& aPoint) const { return x_.Takes(aPoint.x_) && y_.Takes(aPoint.y_); }

  void Widen(const PlotPoint& aPoint)
  {
    if (Takes(aPoint)) {
      x_.Widen(aPoint.x_);
      y_.Widen(aPoint.y_);
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
      const double share = static_cast<double>(tick) / (kTickCount - 1);
      const double px = kLeftPx + share * (kRightPx - kLeftPx);
      const double py = kBottomPx + share * (kTopPx - kBottomPx);
      WriteLine(kLeftPx, py, kRightPx, py, "#dddddd");
      WriteText(px, kBottomPx + 16, "middle", TickLabel(x_.ValueAt(share)));
      WriteText(kLeftPx - 6, py + 4, "end", TickLabel(y_.ValueAt(share)));
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
      if (Takes(point)) {
        out_ << x_.ToPx(point.x_) << "," << y_.ToPx(point.y_) << " ";
      }
    }
    out_ << "\"/>\n";
    const bool isMarked = series.points_.size() <= kMostMarkedPoints;
    for (const PlotPoint& point : series.points_) {
      if (isMarked && Takes(point)) {
        out_ << "<circle r=\"2.5\" cx=\"" << x_.ToPx(point.x_) << "\" cy=\"" << y_.ToPx(point.y_)
             << "\" fill=\"" << colour << "\"/>\n";
      }
    }
    const double row = kTopPx + kLegendRowPx * static_cast<double>(aIndex);
    WriteLine(kLegendPx, row, kLegendPx + 14, row, colour);
    WriteText(kLegendPx + 20, row + 4, "start", series.name_);
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
